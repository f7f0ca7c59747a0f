import type { EndpointView } from "../../beliefs/model/endpointView.js";
import { estimateQueuedPrefill } from "../../beliefs/queries/estimateQueuedPrefill.js";
import type { RoutingInput } from "../model/routing.js";

/** Expected time to first token on an endpoint, in milliseconds from now. */
export function estimateFirstToken(input: RoutingInput, view: EndpointView): number {
    return estimateWait(input, view) + estimateOwnPrefill(input, view);
}

/** Expected time until the prefill of the request starts, in milliseconds. */
export function estimateWait(input: RoutingInput, view: EndpointView): number {
    const queued = estimateQueuedPrefill(view, input.now);
    const runsLong = view.ownLoad.longPrefills > 0 || input.lanes.longLane.has(view.endpoint);
    const isUrgent = input.request.lengthClass === "short" || input.request.lengthClass === "medium";
    // Short work overtakes long prefills at the end of the running step, so it waits for one step and its own kind.
    const ahead = isUrgent && runsLong
        ? Math.min(queued, input.settings.chunkTokens) + view.ownLoad.shortPrefillTokens
        : queued;
    return ahead / view.prefillTokensPerSecond * 1_000;
}

function estimateOwnPrefill(input: RoutingInput, view: EndpointView): number {
    const cached = input.request.prefixHits.get(view.endpoint) ?? 0;
    return Math.max(1, input.request.promptTokens - cached) / view.prefillTokensPerSecond * 1_000;
}
