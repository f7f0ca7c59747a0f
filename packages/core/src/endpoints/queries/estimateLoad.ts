import { isLongClass } from "../../model/lengthClass.js";
import type { EndpointView, LoadEstimate, LoadReport, LocalAttempt } from "../model/endpointView.js";

/**
 * Estimates the load of an endpoint from its last report, whose queue drains at the endpoint's prefill rate, and from
 * this host's attempts. Attempts sent after the report was made are not in it and are added.
 */
export function estimateLoad(
    view: EndpointView,
    report: LoadReport,
    localAttempts: readonly LocalAttempt[],
): LoadEstimate {
    const tokensPerMs = view.prefillTokensPerSecond / 1_000;
    const prefills = localAttempts.filter(entry => entry.inPrefill);
    const unreported = localAttempts.filter(entry => entry.sentAtMs > report.observedAtMs);
    const reportDrainedAtMs = report.observedAtMs + report.queuedPrefillTokens / tokensPerMs;
    const unreportedPrefills = unreported.filter(entry => entry.inPrefill);
    return {
        drainedAtMs: Math.max(
            estimateDrainTime(reportDrainedAtMs, unreportedPrefills, tokensPerMs),
            estimateDrainTime(0, prefills, tokensPerMs),
        ),
        freeMemoryTokens: view.memoryTokens - report.memoryUsedTokens
            - sumTokens(unreported, entry => entry.memoryTokens),
        freeSlots: view.slots - report.runningRequests - unreported.length,
        localShortTokens: sumTokens(prefills, entry => entry.lengthClass === "short" ? entry.prefillTokens : 0),
        localShortAndMediumTokens: sumTokens(
            prefills,
            entry => isLongClass(entry.lengthClass) ? 0 : entry.prefillTokens,
        ),
        localLongPrefills: prefills.filter(entry => isLongClass(entry.lengthClass)).length,
    };
}

/**
 * Time at which an endpoint that is busy until `busyUntilMs` finishes the prefill of `attempts` too, in sending order.
 */
function estimateDrainTime(busyUntilMs: number, attempts: readonly LocalAttempt[], tokensPerMs: number): number {
    return attempts.reduce(
        (until, entry) => Math.max(until, entry.sentAtMs) + entry.prefillTokens / tokensPerMs,
        busyUntilMs,
    );
}

const sumTokens = (attempts: readonly LocalAttempt[], getTokens: (entry: LocalAttempt) => number): number =>
    attempts.reduce((sum, entry) => sum + getTokens(entry), 0);
