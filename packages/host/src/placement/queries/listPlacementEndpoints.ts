import { type EndpointObject, listHeldNames, listObjects, type PlacementEndpoint } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import { computeDigestAge } from "../../watching/model/endpointViews.js";
import type { PlacementState } from "../model/placementState.js";

/** Time for which an unreachable endpoint keeps its models; most come back within it. */
const REPLACE_UNREACHABLE_MS = 60_000;
/** The same without any digest. A domain that is cut off is still there, so it is not replaced at once. */
const REPLACE_SILENT_MS = 300_000;

/** Lists the engines as this host last heard of them. One without any digest yet counts as holding what is declared. */
export function listPlacementEndpoints(context: HostContext, state: PlacementState): PlacementEndpoint[] {
    const models = listObjects(context.configuration.current, "model");
    const pools = new Set(models.flatMap(model => model.pools));
    return listObjects(context.configuration.current, "endpoint")
        .filter(endpoint => pools.has(endpoint.pool))
        .map(endpoint => {
            const declared = models.filter(model => model.pools.includes(endpoint.pool)).flatMap(listHeldNames);
            const received = context.endpointViews.digests.get(endpoint.name);
            return {
                endpoint: endpoint.name,
                pool: endpoint.pool,
                failureDomain: endpoint.failureDomain,
                isUsable: endpoint.lending === "lent" && isPresent(context, state, endpoint),
                models: received?.digest.models ?? declared,
            };
        });
}

function isPresent(context: HostContext, state: PlacementState, { name }: EndpointObject): boolean {
    const now = performance.now();
    const received = context.endpointViews.digests.get(name);
    if (received === undefined) {
        return now - state.startedAtMs < REPLACE_SILENT_MS;
    }
    if (received.digest.reachable) {
        state.unreachableSince.delete(name);
        return computeDigestAge(received, now) < REPLACE_SILENT_MS;
    }
    const sinceMs = state.unreachableSince.get(name) ?? now;
    state.unreachableSince.set(name, sinceMs);
    return now - sinceMs < REPLACE_UNREACHABLE_MS;
}
