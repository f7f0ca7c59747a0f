import type { EndpointView } from "../model/endpointView.js";

/**
 * Estimates the prefill tokens that wait or run on an endpoint now: the report drained at the endpoint's rate since it
 * was made, plus the host's own sends since then. The result is at least the host's own unfinished work.
 */
export function estimateQueuedPrefill(view: EndpointView, now: number): number {
    const { report, ownLoad } = view;
    const tokensPerMs = view.prefillTokensPerSecond / 1_000;
    const firstSend = Math.min(ownLoad.firstSinceReportAtMs, now);
    const atFirstSend = Math.max(0, report.queuedPrefillTokens - tokensPerMs * (firstSend - report.observedAtMs));
    const queued = Math.max(0, atFirstSend + ownLoad.prefillTokensSinceReport - tokensPerMs * (now - firstSend));
    const ownUnfinished = ownLoad.prefillTokens === 0
        ? 0
        : ownLoad.prefillTokens - tokensPerMs * (now - ownLoad.oldestPrefillAtMs);
    return Math.max(queued, ownUnfinished);
}
