/**
 * Keeps the model loads of a domain below its share of the weight store's rate. Every host of the domain has the same
 * rate limiter.
 */
import { createTokenBucket, type TokenBucket } from "../../limits/model/tokenBucket.js";

/** State of the limiter. */
export interface LoadRateLimiter {
    readonly bucket: TokenBucket;
    /** Loads that may run, with the time at which they were released to run. */
    readonly released: ReadonlyMap<string, number>;
}

export interface LoadRateOptions {
    /** Loads per second that the weight store allows all domains together. */
    readonly loadsPerSecond: number;
    readonly domains: number;
}

/** Number of loads that may begin at the same time in a domain. */
const MAX_BURST = 1;

export const createLoadRateLimiter = ({ loadsPerSecond, domains }: LoadRateOptions, now: number): LoadRateLimiter => ({
    bucket: createTokenBucket({ capacity: MAX_BURST, tokensPerSecond: loadsPerSecond / Math.max(1, domains) }, now),
    released: new Map(),
});
