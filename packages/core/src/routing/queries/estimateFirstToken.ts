import type { EndpointView } from "../../endpoints/model/endpointView.js";
import { estimateQueuedPrefill } from "../../endpoints/queries/estimateQueuedPrefill.js";
import type { RoutingInput } from "../model/routing.js";

/** Estimates the time to first token on an endpoint, in milliseconds from now. */
export function estimateFirstToken(input: RoutingInput, view: EndpointView): number {
    return estimateWait(input, view) + estimateRequestPrefill(input, view);
}

/** Estimates the time until the prefill of the request starts, in milliseconds. */
export function estimateWait(input: RoutingInput, view: EndpointView): number {
    return estimateTokensAhead(input, view) / view.prefillTokensPerSecond * 1_000;
}

/** Estimates the prefill time of the request without the tokens in the endpoint's prefix cache, in milliseconds. */
function estimateRequestPrefill(input: RoutingInput, view: EndpointView): number {
    const cached = input.request.prefixHits.size === 0 ? 0 : input.request.prefixHits.get(view.endpoint) ?? 0;
    return Math.max(1, input.request.promptTokens - cached) / view.prefillTokensPerSecond * 1_000;
}

/** Estimates the prefill tokens that the engine processes before those of the request. */
function estimateTokensAhead(input: RoutingInput, view: EndpointView): number {
    const queued = estimateQueuedPrefill(view, input.now);
    // On average, half of the current step is left when work of higher priority arrives.
    const remainingStepTokens = Math.min(queued, input.settings.chunkTokens / 2);
    switch (input.request.lengthClass) {
        case "short":
            // Short prompts of other hosts are finished before a load report that includes them arrives.
            return remainingStepTokens + view.localShortTokens;
        case "medium":
            return input.lanes.longLane.has(view.endpoint) || view.localLongPrefills > 0
                ? remainingStepTokens + view.localShortAndMediumTokens
                : queued;
        case "long":
        case "huge":
            return queued;
    }
}
