/** Weights by which placement compares endpoints. Costs are relative to each other. */
export interface PlacementWeights {
    /** Prompt tokens that add one unit to a request's weight; the worth of a request grows with its prompt. */
    readonly tokensPerWeight: number;
    /** Part of a target from which on a prediction counts as a risk. */
    readonly safeShare: number;
    /** Part of a target from which on a prediction counts as a miss. */
    readonly missShare: number;
    /** Cost of a late answer, which keeps a part of its worth. */
    readonly lateCost: number;
    /** Cost of a prompt that does not fit into memory: it evicts the newest one, which is read again. */
    readonly evictionCost: number;
    readonly fullSlotsCost: number;
    readonly silentCost: number;
    /** Cost of an endpoint of a domain in which all others are silent. */
    readonly silentDomainCost: number;
    readonly costPerFailure: number;
    /** Smaller than the cost of any harm: order among endpoints that serve equally well. */
    readonly otherDomainCost: number;
    /** Cost of a part in another domain than the first endpoint: all its work stalls if the way between them is cut. */
    readonly crossPartCost: number;
    /** Largest difference that a host's own order of the endpoints makes. */
    readonly biasCost: number;
    /** Cost of a wait as long as the target. */
    readonly waitCost: number;
    /** Cost of a short prompt on an idle endpoint: these are kept for prompts that cannot share one. */
    readonly idleCost: number;
    /** Reading time from which on a prompt is not counted as short, in milliseconds. */
    readonly longReadMs: number;
    /** Cost of each further endpoint of a prompt: it is lost to short prompts meanwhile, and one more can fail. */
    readonly partCost: number;
    /** Prompts with a shorter reading time are read on one endpoint, in milliseconds. */
    readonly minReadToSplitMs: number;
}

/** From rounds on the two first deployments; `npm run placement` compares others. */
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
    biasCost: 0.05,
    waitCost: 0.08,
    idleCost: 0.06,
    longReadMs: 120,
    partCost: 0.2,
    minReadToSplitMs: 300,
};
