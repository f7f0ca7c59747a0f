import type { EndpointObject } from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import type { ServiceCall } from "../model/serviceCall.js";

/**
 * Chooses an endpoint for a call and logs the decision. Prefers endpoints without a recent failure, then the lowest
 * number of calls in flight from this host, with a penalty for remote failure domains. Returns `undefined` if no
 * endpoint accepts new work or all have been tried.
 */
export function chooseServiceEndpoint(
    context: HostContext,
    call: ServiceCall,
    triedEndpoints: ReadonlySet<EndpointId> = new Set(),
): EndpointObject | undefined {
    const scored = call.endpoints
        .filter(endpoint => context.lending.isUsable(endpoint.name) && !triedEndpoints.has(endpoint.name))
        .map(endpoint => ({ endpoint, score: scoreEndpoint(context, endpoint) }))
        .sort((a, b) => a.score - b.score);
    const choice = scored[0]?.endpoint;
    context.log.info({
        requestId: call.scope.requestId,
        operation: call.operation,
        choice: choice?.name ?? "refuse",
        candidates: scored.length,
        considered: scored.slice(0, 5).map(({ endpoint, score }) => ({ endpoint: endpoint.name, score })),
        reason: choice === undefined ? "no endpoint takes new work" : "fewest own calls",
    }, "routing: decision");
    return choice;
}

/**
 * Much higher than the usual number of calls in flight, so that a suspect endpoint is chosen only if all are suspect.
 */
const SUSPECT_PENALTY = 10_000;
/** A call to a remote failure domain counts as much as two calls in flight. */
const REMOTE_PENALTY = 2;

function scoreEndpoint(context: HostContext, endpoint: EndpointObject): number {
    const isRemote = endpoint.failureDomain !== context.settings.failure_domain;
    return context.services.countInFlight(endpoint.name)
        + (isRemote ? REMOTE_PENALTY : 0)
        + (context.services.isSuspect(endpoint.name) ? SUSPECT_PENALTY : 0);
}
