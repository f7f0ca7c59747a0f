import { isLongClass } from "../../model/lengthClass.js";
import type { EndpointView, LoadEstimate, LoadReport, OwnWork } from "../model/endpointView.js";

/**
 * Derives the load of an endpoint from its last report, which drains at the endpoint's prefill rate, and the host's own
 * work. Work sent after the report was made is not in it.
 */
export function estimateLoad(view: EndpointView, report: LoadReport, ownWork: readonly OwnWork[]): LoadEstimate {
    const tokensPerMs = view.prefillTokensPerSecond / 1_000;
    const prefills = ownWork.filter(entry => entry.inPrefill);
    const unreported = ownWork.filter(entry => entry.sentAtMs > report.observedAtMs);
    const reportDrainedAtMs = report.observedAtMs + report.queuedPrefillTokens / tokensPerMs;
    const unreportedPrefills = unreported.filter(entry => entry.inPrefill);
    return {
        drainedAtMs: Math.max(
            drainWork(reportDrainedAtMs, unreportedPrefills, tokensPerMs),
            drainWork(0, prefills, tokensPerMs),
        ),
        freeMemoryTokens: view.memoryTokens - report.memoryUsedTokens
            - sumTokens(unreported, entry => entry.memoryTokens),
        freeSlots: view.slots - report.runningRequests - unreported.length,
        ownShortTokens: sumTokens(prefills, entry => entry.lengthClass === "short" ? entry.prefillTokens : 0),
        ownUrgentTokens: sumTokens(prefills, entry => isLongClass(entry.lengthClass) ? 0 : entry.prefillTokens),
        ownLongPrefills: prefills.filter(entry => isLongClass(entry.lengthClass)).length,
    };
}

/** Time at which an endpoint that is busy until `busyUntilMs` has finished `work` as well, in the order of sending. */
function drainWork(busyUntilMs: number, work: readonly OwnWork[], tokensPerMs: number): number {
    return work.reduce(
        (until, entry) => Math.max(until, entry.sentAtMs) + entry.prefillTokens / tokensPerMs,
        busyUntilMs,
    );
}

const sumTokens = (work: readonly OwnWork[], read: (entry: OwnWork) => number): number =>
    work.reduce((sum, entry) => sum + read(entry), 0);
