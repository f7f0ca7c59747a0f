/** Scores endpoints by what a placement of a prompt, or of one of its prefill shards, costs all requests together. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { EndpointLoad } from "../model/endpointLoad.js";
import type { PlacementWeights } from "../model/placementWeights.js";
import {
    estimateIterationMs,
    estimateLongestPrefillMs,
    estimatePrefillMs,
    estimatePrefillPerIterationMs,
    getFreeTokens,
    listDecoding,
} from "./estimateEngine.js";
import { estimateBacklogMs, type PendingPrefill } from "./replayPrefill.js";

/** A prompt that is to be placed on endpoints. */
export interface PlacementRequest {
    readonly promptTokens: number;
    /** Expected length of the answer. */
    readonly answerTokens: number;
    /** Remaining time until the first event is late, in milliseconds. */
    readonly targetMs: number;
    /** Target for the longest pause between two events, in milliseconds. */
    readonly targetPauseMs: number;
}

/** What a placement depends on besides the prompt and the endpoints. */
export interface PlacementContext {
    readonly weights: PlacementWeights;
    /** Figures of the engine that all endpoints of the service run. */
    readonly engine: EngineProfile;
    /** Failure domain of the host that places the prompt. */
    readonly hostDomain: FailureDomainId;
    /** Current time of the host's monotonic clock. */
    readonly nowMs: number;
}

/** A placement context with the pending prefills of each endpoint, which are the same for all scores of a placement. */
export interface ScoringContext extends PlacementContext {
    readonly pendingPrefills: ReadonlyMap<EndpointLoad, readonly PendingPrefill[]>;
}

/** Cost and expected times of a prompt, or of a shard, on an endpoint. */
export interface EndpointScore {
    readonly load: EndpointLoad;
    /** Cost by the placement weights; lower is better. */
    readonly cost: number;
    /** Expected time until the prefill is complete, and if this endpoint decodes the answer, until its first event. */
    readonly firstEventMs: number;
    /**
     * Expected time until the pending prefills ahead of this one are complete; 0 for a shard, which goes ahead of them.
     */
    readonly backlogMs: number;
    /** Memory that no assignment occupies, in tokens. */
    readonly freeTokens: number;
}

/**
 * Prefills that arrive before the current iteration of the engine ends, and are completed in the same one as this prompt,
 * as a fraction of the backlog: a longer backlog lets more of them join. In logs of two bursts the first event came later
 * than the backlog explains by 0.4 to 0.5 of it.
 */
const JOINED_PREFILL_FRACTION = 0.4;

/** Weight of a request in costs, which grows with its prompt. */
const computePromptWeight = ({ tokensPerWeight }: PlacementWeights, promptTokens: number): number =>
    1 + promptTokens / tokensPerWeight;

/** Estimates the risk that a predicted value misses its limit: 0 if it is well below, 1 if a miss is certain. */
function estimateMissRisk({ safeShare, missShare }: PlacementWeights, value: number, limit: number): number {
    const usedFraction = value / Math.max(1, limit);
    return Math.min(1, Math.max(0, (usedFraction - safeShare) / (missShare - safeShare)));
}

/**
 * Scores an endpoint for a prompt whose prefill is split into `shardCount` equal shards. `isHelper`: the endpoint
 * prefills a shard, and the answer is decoded at another endpoint.
 */
export function scoreEndpoint(
    context: ScoringContext,
    load: EndpointLoad,
    request: PlacementRequest,
    shardCount: number,
    isHelper: boolean,
): EndpointScore {
    const { engine, nowMs, weights } = context;
    const weight = computePromptWeight(weights, request.promptTokens);
    const decoding = listDecoding(load);
    const prefillMs = estimatePrefillMs(engine, request.promptTokens, shardCount) * load.slowdown;
    const shardTokens = request.promptTokens / shardCount;
    const pending = context.pendingPrefills.get(load) ?? [];
    const pendingMs = estimateBacklogMs(pending);
    const isSharded = shardCount > 1;
    // The engine prefills a shard ahead of its pending prefills, once the current iteration has ended.
    const backlogMs = isSharded ? 0 : pendingMs;
    const iterationMs = estimateIterationMs(engine, load, decoding);
    const pendingInIterationMs = Math.min(pendingMs, estimateLongestPrefillMs(engine));
    const waitMs = backlogMs + (decoding.length > 0 ? (iterationMs + (isSharded ? pendingInIterationMs : 0)) / 2 : 0);
    // An engine without decoding requests returns the first token as soon as the prefill is complete. Prompts whose prefill
    // is pending are decoding by then.
    const isDecodingThen = decoding.length > 0 || pending.length > 0 && !isSharded;
    const firstDecodeMs = isHelper || !isDecodingThen
        ? 0
        : iterationMs + engine.stepsPerIteration * engine.stepPerDecodeMs;
    const firstEventMs = waitMs + prefillMs + firstDecodeMs + JOINED_PREFILL_FRACTION * backlogMs;
    const prefillPerIterationMs = estimatePrefillPerIterationMs(engine, shardTokens, prefillMs);
    const pauseMs = iterationMs + Math.min(prefillPerIterationMs + pendingMs, estimateLongestPrefillMs(engine));
    // Prompts whose prefill is still pending will be decoding when this one is prefilled.
    const interferenceRisk = load.assignments
        .filter(assignment => !assignment.isDecodedElsewhere)
        .reduce(
            (sum, { prefillTokens: tokens, promptShards: count, targetPauseMs }) =>
                sum + computePromptWeight(weights, tokens * count) * estimateMissRisk(weights, pauseMs, targetPauseMs),
            0,
        );
    const delayRisk = isSharded ? estimatePrefillDelayRisk(weights, pending, prefillMs, nowMs) : 0;
    const freeTokens = getFreeTokens(engine, load);
    const neededTokens = shardTokens + (isHelper ? 0 : request.answerTokens);
    const isBusy = load.assignments.length > 0;
    const cost = weights.lateCost * weight * estimateMissRisk(weights, firstEventMs, request.targetMs)
        + weights.lateCost * weight * (isHelper ? 0 : estimateMissRisk(weights, firstDecodeMs, request.targetPauseMs))
        + weights.lateCost * (interferenceRisk + delayRisk)
        + (freeTokens < neededTokens ? weights.evictionCost * weight : 0)
        + (load.assignments.length >= load.slots ? weights.fullSlotsCost * weight : 0)
        + (load.isUnresponsive ? weights.silentCost * weight : 0)
        + weights.silentDomainCost * load.domainUnresponsiveFraction * weight
        + weights.costPerFailure * load.failures * weight
        + (load.failureDomain === context.hostDomain ? 0 : weights.otherDomainCost)
        + (isHelper && load.isRateLimited ? weights.rateLimitShardCost : 0)
        + weights.biasCost * load.bias
        + weights.waitCost * firstEventMs / Math.max(1, request.targetMs)
        + (isBusy || load.isRateLimited || prefillMs >= weights.longReadMs ? 0 : weights.idleCost);
    return { load, cost, firstEventMs, backlogMs, freeTokens };
}

/** Estimates the additional risk of the pending prefills of an endpoint if a shard is prefilled ahead of them. */
function estimatePrefillDelayRisk(
    weights: PlacementWeights,
    pending: readonly PendingPrefill[],
    prefillMs: number,
    nowMs: number,
): number {
    let endMs = nowMs;
    let risk = 0;
    for (const { assignment, remainingMs } of pending) {
        endMs += remainingMs;
        const firstEventMs = endMs - assignment.startedAtMs;
        const before = estimateMissRisk(weights, firstEventMs, assignment.targetMs);
        const after = estimateMissRisk(weights, firstEventMs + prefillMs, assignment.targetMs);
        risk += computePromptWeight(weights, assignment.prefillTokens * assignment.promptShards) * (after - before);
    }
    return risk;
}
