export interface RoutingSettings {
    /** Weight of the slowdown of short requests relative to the time to first token of all lengths, from 0 to 1. */
    readonly shortRequestWeight: number;
    /** Penalty for an endpoint of another workspace's pool, in milliseconds of time to first token. */
    readonly borrowedPenaltyMs: number;
    /**
     * Penalty for an endpoint in a remote failure domain, in milliseconds. Above `scoreToleranceMs`, so that requests
     * leave the local domain only to save time. With a lower penalty an idle fleet spread them over all domains, and
     * each request that met a network partition lost the time until the partition was detected.
     */
    readonly remotePenaltyMs: number;
    /** Tokens that an engine prefills in one step. Work of higher priority starts only at the end of the step. */
    readonly chunkTokens: number;
    /** Difference of scores up to which two endpoints count as equally good, in milliseconds. */
    readonly scoreToleranceMs: number;
}

export const defaultRoutingSettings: RoutingSettings = {
    shortRequestWeight: 0.5,
    borrowedPenaltyMs: 40,
    remotePenaltyMs: 25,
    chunkTokens: 1_024,
    scoreToleranceMs: 20,
};
