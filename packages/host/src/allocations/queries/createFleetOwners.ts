import type { HostContext } from "../../model/hostContext.js";
import { requestOwnerAnswer } from "../../peers/commands/requestOwnerAnswer.js";
import { listWatchedEndpoints } from "../../watching/queries/listWatchedEndpoints.js";
import type { OwnerDirectory } from "../model/ownerDirectory.js";

/** Creates the directory that queries the hosts in membership over peer connections. */
export function createFleetOwners(getContext: () => HostContext): OwnerDirectory {
    const listMembers = () => [...getContext().fleet.membership.members.values()];
    return {
        listSweptEndpoints: () => listWatchedEndpoints(getContext()).map(({ endpoint }) => endpoint.name),
        listIncarnations: () => new Set(listMembers().map(member => member.incarnation)),
        queryOwner: async (incarnation, attempts) => {
            const context = getContext();
            if (incarnation === context.incarnation) {
                return context.allocations.listAlive(attempts);
            }
            const owner = listMembers().find(member => member.incarnation === incarnation);
            if (owner === undefined) {
                return undefined;
            }
            const answer = await requestOwnerAnswer(context, owner.host, incarnation, attempts).catch(() => undefined);
            return answer?.alive;
        },
    };
}
