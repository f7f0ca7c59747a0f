/** Decides whether a request can be answered before its deadline. */
export interface AdmissionEstimate {
    readonly deadlineMs: number;
    /** Expected time to first token from now, with queueing. */
    readonly expectedFirstTokenMs: number;
    readonly maxTokens: number;
    /** Tokens per second of one stream under load. */
    readonly decodeTokensPerSecond: number;
}

export type AdmissionDecision =
    | { readonly kind: "admit"; readonly expectedEndMs: number; }
    | { readonly kind: "refuse"; readonly expectedEndMs: number; readonly retryAfterMs: number; };

/** Part of the expected time that is added, because reports lag and other hosts send as well. */
const SAFETY = 1.5;
const MIN_RETRY_AFTER_MS = 1_000;

export function decideAdmission(estimate: AdmissionEstimate, now: number): AdmissionDecision {
    const decodeMs = estimate.maxTokens / estimate.decodeTokensPerSecond * 1_000;
    const expectedEndMs = now + (estimate.expectedFirstTokenMs + decodeMs) * SAFETY;
    if (expectedEndMs <= estimate.deadlineMs) {
        return { kind: "admit", expectedEndMs };
    }
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedEndMs - estimate.deadlineMs);
    return { kind: "refuse", expectedEndMs, retryAfterMs };
}
