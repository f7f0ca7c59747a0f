/** Keeps the loads of a domain under its part of the weight store's rate. Every host of the domain keeps the same one. */
import { createTokenBucket, type TokenBucket } from "../../limits/model/tokenBucket.js";

export interface Pacing {
    readonly bucket: TokenBucket;
    /** Loads that may run, with the time of their release. */
    readonly released: ReadonlyMap<string, number>;
}

export interface PacingOptions {
    /** Loads per second that the weight store allows all domains together. */
    readonly loadsPerSecond: number;
    readonly domains: number;
}

/** Loads that may begin at the same time in a domain. */
const MAX_BURST = 1;

export const createPacing = ({ loadsPerSecond, domains }: PacingOptions, now: number): Pacing => ({
    bucket: createTokenBucket({ capacity: MAX_BURST, tokensPerSecond: loadsPerSecond / Math.max(1, domains) }, now),
    released: new Map(),
});
