import type { BucketSize, TokenBucket } from "../model/tokenBucket.js";

const MS_PER_SECOND = 1_000;

/** Fills the bucket up to now and gives it a new size. A smaller bucket loses what it can no longer hold. */
export function updateBucket(bucket: TokenBucket, size: BucketSize, now: number): TokenBucket {
    const gained = Math.max(0, now - bucket.updatedAtMs) * bucket.tokensPerSecond / MS_PER_SECOND;
    return { ...size, level: Math.min(size.capacity, bucket.level + gained), updatedAtMs: now };
}

export type SpendResult =
    | { readonly allowed: true; readonly bucket: TokenBucket; }
    | { readonly allowed: false; readonly bucket: TokenBucket; readonly retryAfterMs: number; };

/**
 * Spends tokens. A request larger than the bucket needs a full one and leaves it below zero, so that a share of a small
 * burst does not shut out long prompts for good.
 */
export function spendTokens(bucket: TokenBucket, tokens: number, now: number): SpendResult {
    const filled = updateBucket(bucket, bucket, now);
    const needed = Math.min(tokens, filled.capacity);
    if (filled.level < needed) {
        const retryAfterMs = Math.ceil((needed - filled.level) / filled.tokensPerSecond * MS_PER_SECOND);
        return { allowed: false, bucket: filled, retryAfterMs };
    }
    return { allowed: true, bucket: takeTokens(filled, tokens, now) };
}

/** Charges tokens that are used in any case, such as those of a retry. */
export function takeTokens(bucket: TokenBucket, tokens: number, now: number): TokenBucket {
    const filled = updateBucket(bucket, bucket, now);
    return { ...filled, level: filled.level - tokens };
}
