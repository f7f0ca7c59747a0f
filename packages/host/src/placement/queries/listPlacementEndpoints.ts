import { type EndpointObject, listObjects, listReportedNames, type PlacementEndpoint } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import { computeDigestAge } from "../../monitoring/model/endpointMonitorState.js";
import { getConfigurationIndex } from "../../queries/getConfigurationIndex.js";
import type { PlacementState } from "../model/placementState.js";

/** Time after which the models of an unreachable endpoint are loaded elsewhere. Most endpoints recover sooner. */
const REPLACE_UNREACHABLE_MS = 60_000;
/**
 * The same for an endpoint without recent digests. It is longer, because the endpoints of a partitioned failure domain
 * are still running and are not to be replaced at once.
 */
const REPLACE_STALE_MS = 300_000;

/**
 * Lists the engines of all pools with models, with the models of their last load digest. An engine without any digest
 * yet counts as having the declared models, so that nothing is loaded because of missing information.
 */
export function listPlacementEndpoints(context: HostContext, state: PlacementState): PlacementEndpoint[] {
    const models = listObjects(context.configuration.current, "model");
    const { evacuatedDomains } = getConfigurationIndex(context.configuration.current);
    const pools = new Set(models.flatMap(model => model.pools));
    return listObjects(context.configuration.current, "endpoint")
        .filter(endpoint => pools.has(endpoint.pool))
        .map(endpoint => {
            const declared = models.filter(model => model.pools.includes(endpoint.pool)).flatMap(listReportedNames);
            const received = context.endpointMonitor.digests.get(endpoint.name);
            return {
                endpoint: endpoint.name,
                pool: endpoint.pool,
                failureDomain: endpoint.failureDomain,
                // A model whose copies are all in an evacuated domain is loaded elsewhere, as for reclaimed endpoints.
                isUsable: endpoint.lending === "lent" && !evacuatedDomains.has(endpoint.failureDomain)
                    && isConsideredPresent(context, state, endpoint),
                models: received?.digest.models ?? declared,
            };
        });
}

/** Whether an endpoint keeps its models: it has been reachable recently enough not to be replaced. */
function isConsideredPresent(context: HostContext, state: PlacementState, { name }: EndpointObject): boolean {
    const now = performance.now();
    const received = context.endpointMonitor.digests.get(name);
    if (received === undefined) {
        return now - state.startedAtMs < REPLACE_STALE_MS;
    }
    if (received.digest.reachable) {
        state.unreachableSince.delete(name);
        return computeDigestAge(received, now) < REPLACE_STALE_MS;
    }
    const sinceMs = state.unreachableSince.get(name) ?? now;
    state.unreachableSince.set(name, sinceMs);
    return now - sinceMs < REPLACE_UNREACHABLE_MS;
}
