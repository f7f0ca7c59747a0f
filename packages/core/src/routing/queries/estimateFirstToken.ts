import type { EndpointView } from "../../beliefs/model/endpointView.js";
import { estimateQueuedPrefill } from "../../beliefs/queries/estimateQueuedPrefill.js";
import type { RoutingInput } from "../model/routing.js";

/** Expected time to first token on an endpoint, in milliseconds from now. */
export function estimateFirstToken(input: RoutingInput, view: EndpointView): number {
    return estimateWait(input, view) + estimateOwnPrefill(input, view);
}

/** Expected time until the prefill of the request starts, in milliseconds. */
export function estimateWait(input: RoutingInput, view: EndpointView): number {
    return estimateTokensAhead(input, view) / view.prefillTokensPerSecond * 1_000;
}

/** Prefill time of the request itself without what the endpoint has in its cache, in milliseconds. */
function estimateOwnPrefill(input: RoutingInput, view: EndpointView): number {
    const cached = input.request.prefixHits.size === 0 ? 0 : input.request.prefixHits.get(view.endpoint) ?? 0;
    return Math.max(1, input.request.promptTokens - cached) / view.prefillTokensPerSecond * 1_000;
}

function estimateTokensAhead(input: RoutingInput, view: EndpointView): number {
    const queued = estimateQueuedPrefill(view, input.now);
    // Half a step remains on average before work of higher priority gets its turn.
    const restOfStep = Math.min(queued, input.settings.chunkTokens / 2);
    switch (input.request.lengthClass) {
        case "short":
            // Short prompts of other hosts are finished before a report about them arrives.
            return restOfStep + view.ownShortTokens;
        case "medium":
            return input.lanes.longLane.has(view.endpoint) || view.ownLongPrefills > 0
                ? restOfStep + view.ownUrgentTokens
                : queued;
        case "long":
        case "huge":
            return queued;
    }
}
