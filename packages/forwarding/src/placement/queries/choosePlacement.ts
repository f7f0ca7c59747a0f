/** Chooses the endpoint of a prompt, and the helper endpoints of a sharded prefill. */
import type { EndpointLoad } from "../model/endpointLoad.js";
import { replayPrefill } from "./replayPrefill.js";
import {
    type EndpointScore,
    type PlacementContext,
    type PlacementRequest,
    scoreEndpoint,
    type ScoringContext,
} from "./scoreEndpoint.js";

/** A prefill shard at a helper endpoint. */
export interface PlacedShard {
    readonly load: EndpointLoad;
    /** Memory to reserve at the helper endpoint, in tokens; 0 if the primary endpoint holds the whole prompt. */
    readonly reserveTokens: number;
}

/** Endpoints of a prompt. */
export interface Placement {
    /** Primary endpoint, which decodes the answer. */
    readonly primary: EndpointLoad;
    /** Shards at helper endpoints; empty if the primary endpoint prefills the whole prompt. */
    readonly helperShards: readonly PlacedShard[];
    /** Expected time to the first event, in milliseconds. */
    readonly firstEventMs: number;
    /** Expected time until the pending prefills of the primary endpoint are complete, in milliseconds. */
    readonly backlogMs: number;
    /** Cost by the placement weights; lower is better. */
    readonly cost: number;
}

/** Numbers of shards that are compared. An endpoint accepts at most 16 helpers. */
const SHARD_COUNTS = [1, 2, 3, 4, 6, 8, 12, 16];
/** Memory reserved in addition to the shard's tokens, because endpoints allocate memory in blocks. */
const RESERVE_MARGIN_TOKENS = 64;

/** Chooses the placement with the lowest cost. Returns `undefined` if no endpoints can hold the prompt. */
export function choosePlacement(
    context: PlacementContext,
    loads: readonly EndpointLoad[],
    request: PlacementRequest,
): Placement | undefined {
    const scoringContext = {
        ...context,
        pendingPrefills: new Map(loads.map(load => [load, replayPrefill(load, context.nowMs)])),
    };
    const prefillMs = request.promptTokens / context.engine.prefillTokensPerMs;
    const candidateCounts = prefillMs < context.weights.minReadToSplitMs
        ? [1]
        : SHARD_COUNTS.filter(count => count <= loads.length);
    return candidateCounts
        .map(count => planShards(scoringContext, loads, request, count))
        .filter(placement => placement !== undefined)
        .reduce<Placement | undefined>(
            (best, placement) => best === undefined || placement.cost < best.cost ? placement : best,
            undefined,
        );
}

/** Scores an endpoint for a shard of a prompt whose answer is decoded at `primaryLoad`. */
function scoreShard(
    context: ScoringContext,
    primaryLoad: EndpointLoad,
    load: EndpointLoad,
    request: PlacementRequest,
    count: number,
): EndpointScore {
    const score = scoreEndpoint(context, load, request, count, true);
    return load.failureDomain === primaryLoad.failureDomain
        ? score
        : { ...score, cost: score.cost + context.weights.crossPartCost };
}

const compareScores = (a: EndpointScore, b: EndpointScore): number =>
    a.cost - b.cost || (a.load.id < b.load.id ? -1 : 1);

/** Plans a placement with a number of shards. Returns `undefined` if memory or responsive endpoints do not suffice. */
function planShards(
    context: ScoringContext,
    loads: readonly EndpointLoad[],
    request: PlacementRequest,
    count: number,
): Placement | undefined {
    const neededTokens = request.promptTokens + request.answerTokens;
    if (count === 1 && neededTokens > context.engine.memoryTokens) {
        return undefined;
    }
    const primaryScores = loads.map(load => scoreEndpoint(context, load, request, count, false)).sort(compareScores);
    const primaryScore = primaryScores[0];
    if (primaryScore === undefined) {
        return undefined;
    }
    if (count === 1) {
        const { load, firstEventMs, backlogMs, cost } = primaryScore;
        return { primary: load, helperShards: [], firstEventMs, backlogMs, cost };
    }
    const helperScores = loads
        .filter(load => load !== primaryScore.load && !load.isUnresponsive)
        .map(load => scoreShard(context, primaryScore.load, load, request, count))
        .sort(compareScores)
        .slice(0, count - 1);
    if (helperScores.length < count - 1) {
        return undefined;
    }
    // If the primary endpoint's memory suffices, the helpers need no reserved memory.
    const shardTokens = primaryScore.freeTokens >= neededTokens
        ? 0
        : Math.ceil(request.promptTokens / count) + RESERVE_MARGIN_TOKENS;
    const fitsIntoMemory = shardTokens === 0
        || helperScores.every(helper => helper.freeTokens >= shardTokens)
            && primaryScore.freeTokens >= shardTokens + request.answerTokens;
    if (!fitsIntoMemory) {
        return undefined;
    }
    return {
        primary: primaryScore.load,
        helperShards: helperScores.map(helper => ({ load: helper.load, reserveTokens: shardTokens })),
        firstEventMs: Math.max(primaryScore.firstEventMs, ...helperScores.map(helper => helper.firstEventMs)),
        backlogMs: primaryScore.backlogMs,
        cost: helperScores.reduce((sum, helper) => sum + helper.cost + context.weights.partCost, primaryScore.cost),
    };
}
