import type { HostContext } from "../../model/hostContext.js";
import { listMonitoredEndpoints } from "../../monitoring/queries/listMonitoredEndpoints.js";
import { queryAliveAttempts } from "../../peers/commands/queryAliveAttempts.js";
import type { OwnerDirectory } from "../model/ownerDirectory.js";

/** Creates the directory that queries the hosts in membership over peer connections. */
export function createOwnerDirectory(getContext: () => HostContext): OwnerDirectory {
    const listMembers = () => [...getContext().fleet.membership.members.values()];
    return {
        listSweptEndpoints: () => listMonitoredEndpoints(getContext()).map(({ endpoint }) => endpoint.name),
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
            const answer = await queryAliveAttempts(context, owner.host, incarnation, attempts).catch(() => undefined);
            return answer?.alive;
        },
    };
}
