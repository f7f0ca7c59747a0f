/** Estimates for a request, from which `decideAdmission` decides whether it can be answered before its deadline. */
export interface AdmissionEstimate {
    readonly deadlineMs: number;
    /** Expected time to first token from now, with the time in queues. */
    readonly expectedFirstTokenMs: number;
    readonly maxTokens: number;
    /** Decode rate of one stream under load. */
    readonly decodeTokensPerSecond: number;
}

/** `expectedEndMs` is the expected end of the answer, on the clock of the deadline. */
export type AdmissionDecision =
    | { readonly kind: "admit"; readonly expectedEndMs: number; }
    | { readonly kind: "refuse"; readonly expectedEndMs: number; readonly retryAfterMs: number; };

/** Factor on the expected time: load reports lag, and other hosts send work to the same endpoints. */
const SAFETY_FACTOR = 1.5;
const MIN_RETRY_AFTER_MS = 1_000;

/** Refuses a request that is expected to end after its deadline. The caller may retry after `retryAfterMs`. */
export function decideAdmission(estimate: AdmissionEstimate, now: number): AdmissionDecision {
    const decodeMs = estimate.maxTokens / estimate.decodeTokensPerSecond * 1_000;
    const expectedEndMs = now + (estimate.expectedFirstTokenMs + decodeMs) * SAFETY_FACTOR;
    if (expectedEndMs <= estimate.deadlineMs) {
        return { kind: "admit", expectedEndMs };
    }
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedEndMs - estimate.deadlineMs);
    return { kind: "refuse", expectedEndMs, retryAfterMs };
}
