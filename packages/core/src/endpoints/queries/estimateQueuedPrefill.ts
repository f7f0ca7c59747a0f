import type { EndpointView } from "../model/endpointView.js";

/** Estimates the prefill tokens that are queued or in progress on an endpoint now. */
export function estimateQueuedPrefill(view: EndpointView, now: number): number {
    return Math.max(0, view.drainedAtMs - now) * view.prefillTokensPerSecond / 1_000;
}
