/** Token bucket. */
export interface RateLimit {
    readonly perSecond: number;
    tokens: number;
    updatedMs: number;
}

/** Creates a full bucket that holds one second's worth. */
export const createRateLimit = (perSecond: number): RateLimit => ({
    perSecond,
    tokens: Math.max(1, perSecond),
    updatedMs: performance.now(),
});

/** Takes one token if there is one. */
export function takeToken(limit: RateLimit): boolean {
    const now = performance.now();
    const refill = (now - limit.updatedMs) / 1_000 * limit.perSecond;
    limit.tokens = Math.min(Math.max(1, limit.perSecond), limit.tokens + refill);
    limit.updatedMs = now;
    if (limit.tokens < 1) {
        return false;
    }
    limit.tokens -= 1;
    return true;
}
