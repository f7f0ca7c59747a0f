/** Token bucket that spreads requests evenly at a rate which may change. Times are those of the monotonic clock. */
export interface TokenBucket {
    /** Takes a token. The caller has checked that there is one. */
    readonly take: (requestsPerSecond: number, nowMs: number, capacity?: number) => void;
    /** Returns the number of tokens, which can be a fraction. `capacity` defaults to that of a limit that lasts. */
    readonly getLevel: (requestsPerSecond: number, nowMs: number, capacity?: number) => number;
}

/** Tokens that are kept at least, so that one can be left for a request that needs it more than others. */
const MIN_CAPACITY = 3;
/**
 * Tokens that are kept at a higher rate, as the time in which they accrue. With the tokens of 4 s they stay below 1.5
 * times the rate over 4 s, also if another host begins to grant meanwhile.
 */
const BURST_SECONDS = 0.5;
const MS_PER_SECOND = 1_000;

/** Creates a bucket. It has one token by default, so that a bucket that takes over from another one adds little. */
export function createTokenBucket(nowMs: number, initialTokens = 1): TokenBucket {
    let tokens = initialTokens;
    let updatedAtMs = nowMs;
    const getLevel = (
        requestsPerSecond: number,
        atMs: number,
        capacity = Math.max(MIN_CAPACITY, requestsPerSecond * BURST_SECONDS),
    ): number => {
        const accrued = requestsPerSecond * Math.max(0, atMs - updatedAtMs) / MS_PER_SECOND;
        tokens = Math.min(capacity, tokens + accrued);
        updatedAtMs = Math.max(updatedAtMs, atMs);
        return tokens;
    };
    return {
        getLevel,
        take: (requestsPerSecond, atMs, capacity) => {
            tokens = getLevel(requestsPerSecond, atMs, capacity) - 1;
        },
    };
}

/** Returns the time until a bucket with a level has a token beyond those that are left, in milliseconds. */
export const estimateWaitMs = (level: number, requestsPerSecond: number, tokensLeft: number): number =>
    Math.max(0, (1 + tokensLeft - level) / requestsPerSecond * MS_PER_SECOND);
