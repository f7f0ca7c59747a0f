/** Settings of routing decisions. */
export interface RoutingSettings {
    /** Weight of the slowdown of short requests against time to first token across lengths, from 0 to 1. */
    readonly shortRequestWeight: number;
    /** Cost of borrowed capacity against own capacity, in milliseconds of first token. */
    readonly borrowedPenaltyMs: number;
    /**
     * Cost of an endpoint in another failure domain, in milliseconds. Above `nearEqualMs`, so that requests leave the
     * own domain only to save time: with a lower cost an idle fleet spread them over all domains, and each request that
     * met a partition lost the time to notice it.
     */
    readonly remotePenaltyMs: number;
    /** Tokens that an engine prefills in one step; work of higher priority waits for the end of the step. */
    readonly chunkTokens: number;
    /** Difference of scores up to which two endpoints count as equal, in milliseconds. */
    readonly nearEqualMs: number;
}

export const defaultRoutingSettings: RoutingSettings = {
    shortRequestWeight: 0.5,
    borrowedPenaltyMs: 40,
    remotePenaltyMs: 25,
    chunkTokens: 1_024,
    nearEqualMs: 20,
};
