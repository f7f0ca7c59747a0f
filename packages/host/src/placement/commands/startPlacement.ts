/** Reconciles the models that the endpoints have loaded with the models that the configuration declares. */
import {
    type EndpointObject,
    listDomains,
    listObjects,
    listObsoleteModels,
    type ModelObject,
    type PlacementEndpoint,
    planLoads,
    releaseLoads,
} from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { listMonitoredEndpoints } from "../../monitoring/queries/listMonitoredEndpoints.js";
import { createPlacementState, type PlacementState } from "../model/placementState.js";
import { listPlacementEndpoints } from "../queries/listPlacementEndpoints.js";
import { sendOrder } from "./sendOrder.js";

/** Interval of the reconciliation. */
const ROUND_INTERVAL_MS = 2_000;
/** Delay before the first round, in which the load digests of the endpoints arrive. */
const SETTLING_TIME_MS = 10_000;

/** Starts the periodic reconciliation, until the returned timer is cleared. */
export function startPlacement(context: HostContext): NodeJS.Timeout {
    const state = createPlacementState({
        loadsPerSecond: context.settings.placement.loads_per_second,
        domains: listDomains(context.fleet.membership).length,
    });
    return setInterval(() => {
        if (performance.now() - state.startedAtMs > SETTLING_TIME_MS) {
            updatePlacement(context, state);
        }
    }, ROUND_INTERVAL_MS);
}

/**
 * Runs one round of reconciliation: orders the missing loads that the rate limit releases, and unloads models that are
 * no longer declared, such as those that a stale order has loaded.
 */
export function updatePlacement(context: HostContext, state: PlacementState): void {
    const { configuration, fleet, settings } = context;
    const models = listObjects(configuration.current, "model");
    const endpoints = listPlacementEndpoints(context, state);
    const needed = planLoads(models, endpoints).filter(load => load.failureDomain === fleet.failureDomain);
    const domains = Math.max(1, listDomains(fleet.membership).length);
    const tokensPerSecond = settings.placement.loads_per_second / domains;
    const adjustedLimiter = { ...state.loadRateLimiter, bucket: { ...state.loadRateLimiter.bucket, tokensPerSecond } };
    const released = releaseLoads(adjustedLimiter, needed, performance.now());
    state.loadRateLimiter = released.rateLimiter;
    const primaryEndpoints = listPrimaryEndpoints(context);
    for (const { endpoint, model, version, adapter } of released.loads) {
        const target = primaryEndpoints.get(endpoint);
        if (target !== undefined) {
            const load = { model, version };
            const order = adapter === undefined
                ? { ...load, action: "load_model" as const }
                : { ...load, action: "load_adapter" as const, adapter };
            void sendOrder(context, state, target, order);
        }
    }
    const loading = new Set(needed.map(load => load.endpoint));
    endpoints
        .filter(entry => !loading.has(entry.endpoint))
        .forEach(entry => sendUnloadOrder(context, state, primaryEndpoints.get(entry.endpoint), entry, models));
}

/** Lists the endpoints that this host sends orders to: those of which it is the first monitor. */
function listPrimaryEndpoints(context: HostContext): Map<EndpointId, EndpointObject> {
    const primary = listMonitoredEndpoints(context).filter(({ rank }) => rank === 0);
    return new Map(primary.map(({ endpoint }) => [endpoint.name, endpoint]));
}

/**
 * Orders an endpoint to unload one model that is not declared. Does nothing if the endpoint is not usable or another
 * host sends its orders.
 */
function sendUnloadOrder(
    context: HostContext,
    state: PlacementState,
    target: EndpointObject | undefined,
    endpoint: PlacementEndpoint,
    models: readonly ModelObject[],
): void {
    const [obsolete] = listObsoleteModels(endpoint, models);
    if (target === undefined || obsolete === undefined || !endpoint.isUsable) {
        return;
    }
    const [model, version] = obsolete.split("@");
    void sendOrder(context, state, target, {
        action: "unload_model",
        ...(model === undefined ? {} : { model }),
        ...(version === undefined ? {} : { version }),
    });
}
