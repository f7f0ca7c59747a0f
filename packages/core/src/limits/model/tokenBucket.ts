/** Limits the tokens that a workspace uses per second. */
export interface TokenBucket {
    /** Below zero after a request that was larger than the bucket. */
    readonly level: number;
    readonly capacity: number;
    readonly tokensPerSecond: number;
    readonly updatedAtMs: number;
}

export type BucketSize = Pick<TokenBucket, "capacity" | "tokensPerSecond">;

export const createTokenBucket = (size: BucketSize, now: number): TokenBucket => ({
    ...size,
    level: size.capacity,
    updatedAtMs: now,
});
