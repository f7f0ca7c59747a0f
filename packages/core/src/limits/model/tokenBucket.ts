/** Token bucket: limits tokens per second and allows bursts up to its capacity. */
export interface TokenBucket {
    /** Below zero after a request that was larger than the bucket. */
    readonly level: number;
    readonly capacity: number;
    readonly tokensPerSecond: number;
    readonly updatedAtMs: number;
}

export type BucketSize = Pick<TokenBucket, "capacity" | "tokensPerSecond">;

/** Creates a full bucket. */
export const createTokenBucket = (size: BucketSize, now: number): TokenBucket => ({
    ...size,
    level: size.capacity,
    updatedAtMs: now,
});
