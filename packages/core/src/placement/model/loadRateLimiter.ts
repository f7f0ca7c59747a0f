/**
 * Keeps the model loads of a domain below its share of the weight store's rate. Every host of the domain runs the same
 * limiter, with the rate of the domain.
 */
import { createTokenBucket, type TokenBucket } from "../../limits/model/tokenBucket.js";

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
