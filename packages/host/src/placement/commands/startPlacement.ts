/** Brings the models on the endpoints to the declared state. */
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
import { listWatchedEndpoints } from "../../watching/queries/listWatchedEndpoints.js";
import { createPlacementState, type PlacementState } from "../model/placementState.js";
import { listPlacementEndpoints } from "../queries/listPlacementEndpoints.js";
import { sendOrder } from "./sendOrder.js";

const ROUND_MS = 2_000;
/** Time after the start in which digests arrive, before anything is compared with them. */
const SETTLE_MS = 10_000;

/** Starts the rounds, until the timer returned is cleared. */
export function startPlacement(context: HostContext): NodeJS.Timeout {
    const state = createPlacementState({
        loadsPerSecond: context.settings.placement.loads_per_second,
        domains: listDomains(context.fleet.membership).length,
    });
    return setInterval(() => {
        if (performance.now() - state.startedAtMs > SETTLE_MS) {
            updatePlacement(context, state);
        }
    }, ROUND_MS);
}

/** One round: orders the loads that are released, and removes what stale orders left. */
export function updatePlacement(context: HostContext, state: PlacementState): void {
    const { configuration, fleet, settings } = context;
    const models = listObjects(configuration.current, "model");
    const endpoints = listPlacementEndpoints(context, state);
    const needed = planLoads(models, endpoints).filter(load => load.failureDomain === fleet.failureDomain);
    const domains = Math.max(1, listDomains(fleet.membership).length);
    const tokensPerSecond = settings.placement.loads_per_second / domains;
    const pacing = { ...state.pacing, bucket: { ...state.pacing.bucket, tokensPerSecond } };
    const released = releaseLoads(pacing, needed, performance.now());
    state.pacing = released.pacing;
    const own = listOwnEndpoints(context);
    for (const { endpoint, model, version, adapter } of released.loads) {
        const target = own.get(endpoint);
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
        .forEach(entry => removeObsolete(context, state, own.get(entry.endpoint), entry, models));
}

/** Endpoints whose orders this host gives: those of which it is the first watcher. */
function listOwnEndpoints(context: HostContext): Map<EndpointId, EndpointObject> {
    const first = listWatchedEndpoints(context).filter(({ rank }) => rank === 0);
    return new Map(first.map(({ endpoint }) => [endpoint.name, endpoint]));
}

function removeObsolete(
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
