import type { IncarnationId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";
import type { OwnerDirectory } from "../model/ownerDirectory.js";

/** Directory of a host without peers: it watches every engine and knows only itself. */
export function createSoleOwner(incarnation: IncarnationId, getContext: () => HostContext): OwnerDirectory {
    return {
        listWatchedEndpoints: () => {
            const { endpoints, pools } = getConfigurationIndex(getContext().configuration.current);
            return endpoints.filter(entry => pools.get(entry.pool)?.serves === "engine").map(entry => entry.name);
        },
        listIncarnations: () => new Set([incarnation]),
        askOwner: (owner, attempts) =>
            Promise.resolve(owner === incarnation ? getContext().allocations.listAlive(attempts) : undefined),
    };
}
