const MAX_BACKOFF_MS = 400;
const MIN_BACKOFF_MS = 50;
/** Age at which the bound of the backoff has halved. */
const AGE_UNIT_MS = 2_000;

/**
 * Computes the delay before the next plan, in milliseconds. `fraction` is a random number from 0 to 1. The upper bound
 * shrinks with the age of the attempt, so that of several hosts that compete for the same members the one with the
 * oldest request retries most often.
 */
export function computeGangBackoff(ageMs: number, fraction: number): number {
    const bound = Math.max(MIN_BACKOFF_MS, MAX_BACKOFF_MS / (1 + ageMs / AGE_UNIT_MS));
    return bound * (0.5 + fraction / 2);
}
