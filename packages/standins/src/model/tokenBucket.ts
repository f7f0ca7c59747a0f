/** Token bucket that limits the rate of requests. Its tokens are not model tokens. */
export interface TokenBucket {
    /** Refill rate in tokens per second. */
    readonly perSecond: number;
    tokens: number;
    /** Time of the last refill on the monotonic clock (`performance.now`). */
    refilledAtMs: number;
}

/** Creates a full bucket whose capacity is one second of the rate, at least one token. */
export const createTokenBucket = (perSecond: number): TokenBucket => ({
    perSecond,
    tokens: Math.max(1, perSecond),
    refilledAtMs: performance.now(),
});

/** Takes one token. Returns false if the bucket is empty. */
export function takeToken(bucket: TokenBucket): boolean {
    const now = performance.now();
    const refill = (now - bucket.refilledAtMs) / 1_000 * bucket.perSecond;
    bucket.tokens = Math.min(Math.max(1, bucket.perSecond), bucket.tokens + refill);
    bucket.refilledAtMs = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}
