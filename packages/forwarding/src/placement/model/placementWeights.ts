/** Weights by which placement scores endpoints. Costs have no unit; only their ratios matter. */
export interface PlacementWeights {
    /** Prompt tokens that add 1 to a request's weight, since the value of a request grows with its prompt. */
    readonly tokensPerWeight: number;
    /** Fraction of a target above which a predicted time counts as a risk of missing it. */
    readonly safeShare: number;
    /** Fraction of a target above which a predicted time counts as a miss. */
    readonly missShare: number;
    /** Cost of a late answer, which keeps a fraction of its value. */
    readonly lateCost: number;
    /** Cost of a prompt that does not fit into memory: the engine evicts the newest prompt and prefills it again. */
    readonly evictionCost: number;
    /** Cost of an endpoint without a free slot. */
    readonly fullSlotsCost: number;
    /** Cost of an unresponsive endpoint. */
    readonly silentCost: number;
    /**
     * Cost of an endpoint in a failure domain where all others are unresponsive; proportionally less for some of them.
     */
    readonly silentDomainCost: number;
    /** Cost of each recent failure of the endpoint. */
    readonly costPerFailure: number;
    /**
     * Cost of an endpoint in another failure domain. It is lower than the cost of any late answer or failure, and only
     * ranks otherwise equal endpoints.
     */
    readonly otherDomainCost: number;
    /**
     * Cost of a prefill shard in another failure domain than the primary endpoint, where all work stalls if the network
     * path between them is partitioned.
     */
    readonly crossPartCost: number;
    /** Cost of a prefill shard at an endpoint that names a rate limit, which counts it like a whole prompt. */
    readonly rateLimitShardCost: number;
    /** Largest cost that the host's bias among the endpoints adds. */
    readonly biasCost: number;
    /** Cost of an expected time to the first event that equals the target; proportional to that time. */
    readonly waitCost: number;
    /**
     * Cost of a short prompt on an idle endpoint, since idle endpoints are kept for prompts that cannot share one. It
     * does not apply to an endpoint that names a rate limit, whose permits are lost if they are not used.
     */
    readonly idleCost: number;
    /** Prefill time from which a prompt no longer counts as short, in milliseconds. */
    readonly longReadMs: number;
    /**
     * Cost of each further endpoint of a sharded prefill: it cannot serve short prompts meanwhile, and it may fail as
     * well.
     */
    readonly partCost: number;
    /** Prompts with a shorter prefill time are not sharded, in milliseconds. */
    readonly minReadToSplitMs: number;
}

/** Weights from trial runs on the first two deployments; `npm run placement` compares them with others. */
export const defaultPlacementWeights: PlacementWeights = {
    tokensPerWeight: 20_000,
    safeShare: 0.9,
    missShare: 1.1,
    lateCost: 3,
    evictionCost: 2,
    fullSlotsCost: 1.5,
    silentCost: 40,
    silentDomainCost: 6,
    costPerFailure: 2,
    otherDomainCost: 0.04,
    crossPartCost: 0.1,
    rateLimitShardCost: 1,
    biasCost: 0.05,
    waitCost: 0.08,
    idleCost: 0.06,
    longReadMs: 120,
    partCost: 0.2,
    minReadToSplitMs: 300,
};
