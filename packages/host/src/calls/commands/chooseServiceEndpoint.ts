import type { EndpointObject } from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import type { ServiceCall } from "../model/serviceCall.js";

/**
 * Chooses the endpoint of a call and logs it: one without a recent failure, of the own domain, with the fewest own calls.
 * `undefined` if no endpoint takes new work, or all have been tried.
 */
export function chooseServiceEndpoint(
    context: HostContext,
    call: ServiceCall,
    tried: ReadonlySet<EndpointId> = new Set(),
): EndpointObject | undefined {
    const scored = call.endpoints
        .filter(endpoint => context.lending.isUsable(endpoint.name) && !tried.has(endpoint.name))
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

const SUSPECT_SCORE = 10_000;
/** A call to another domain costs as much as two calls in flight. */
const REMOTE_SCORE = 2;

function scoreEndpoint(context: HostContext, endpoint: EndpointObject): number {
    const isRemote = endpoint.failureDomain !== context.settings.failure_domain;
    return context.services.countInFlight(endpoint.name)
        + (isRemote ? REMOTE_SCORE : 0)
        + (context.services.isSuspect(endpoint.name) ? SUSPECT_SCORE : 0);
}
