import type { BucketSize, TokenBucket } from "../model/tokenBucket.js";

const MS_PER_SECOND = 1_000;

/** Refills the bucket up to now at its old rate and gives it a new size. Tokens above the new capacity are lost. */
export function updateBucket(bucket: TokenBucket, size: BucketSize, now: number): TokenBucket {
    const refilled = Math.max(0, now - bucket.updatedAtMs) * bucket.tokensPerSecond / MS_PER_SECOND;
    return { ...size, level: Math.min(size.capacity, bucket.level + refilled), updatedAtMs: now };
}

/** `retryAfterMs` is the time until the bucket holds enough tokens. */
export type SpendResult =
    | { readonly allowed: true; readonly bucket: TokenBucket; }
    | { readonly allowed: false; readonly bucket: TokenBucket; readonly retryAfterMs: number; };

/**
 * Takes the tokens of a request from the bucket, or refuses the request. A request larger than the capacity needs a
 * full bucket and leaves it below zero; otherwise a host with a small share of the burst could never admit a long
 * prompt.
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

/** Takes tokens without a check of the level, such as those of a retry. The level may fall below zero. */
export function takeTokens(bucket: TokenBucket, tokens: number, now: number): TokenBucket {
    const filled = updateBucket(bucket, bucket, now);
    return { ...filled, level: filled.level - tokens };
}
