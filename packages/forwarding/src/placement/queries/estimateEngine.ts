/** Estimates times of a model engine from its published figures and its assignments. */
import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { Assignment } from "../model/assignment.js";
import type { EndpointLoad } from "../model/endpointLoad.js";

/** Units of the published figures: a million pairs of tokens, and 1,000 tokens of context. */
const PAIRS_PER_UNIT = 1_000_000;
const TOKENS_PER_CONTEXT_UNIT = 1_000;

/**
 * Estimates the prefill time of a prompt on an idle engine, or of one of its equal shards, in milliseconds. Each chunk
 * takes a step.
 */
export function estimatePrefillMs(engine: EngineProfile, promptTokens: number, shardCount = 1): number {
    const pairs = promptTokens * promptTokens / 2;
    const total = promptTokens / engine.prefillTokensPerMs + pairs / PAIRS_PER_UNIT * engine.msPerMillionPairs;
    const steps = promptTokens / engine.chunkTokens;
    return (total + steps * engine.stepMs) / shardCount;
}

/** Lists the assignments whose answers the endpoint is decoding. */
export const listDecoding = (load: EndpointLoad): readonly Assignment[] =>
    load.assignments.filter(assignment => assignment.prefilledAtMs !== undefined && !assignment.isDecodedElsewhere);

/** Estimates the time of a batch iteration for the given decoding requests, without prefill, in milliseconds. */
export function estimateIterationMs(
    engine: EngineProfile,
    load: EndpointLoad,
    decoding: readonly Assignment[],
): number {
    const context = decoding.reduce((sum, assignment) => sum + assignment.memoryTokens, 0) / TOKENS_PER_CONTEXT_UNIT;
    const stepMs = engine.stepMs + decoding.length * engine.stepPerDecodeMs + context * engine.stepPerContextMs;
    return stepMs * engine.stepsPerIteration * load.slowdown;
}

/** Estimates how much of a prompt's prefill time falls into one batch iteration, in milliseconds. */
export function estimatePrefillPerIterationMs(engine: EngineProfile, prefillTokens: number, prefillMs: number): number {
    const perIteration = engine.chunkTokens * engine.stepsPerIteration;
    return prefillTokens <= perIteration ? prefillMs : prefillMs * perIteration / prefillTokens;
}

/** Estimates the longest prefill time in one batch iteration, however much is pending, in milliseconds. */
export const estimateLongestPrefillMs = (engine: EngineProfile): number =>
    estimatePrefillMs(engine, engine.chunkTokens * engine.stepsPerIteration);

/** Returns the memory that no assignment occupies, in tokens; negative if too much is assigned. */
export const getFreeTokens = (engine: EngineProfile, load: EndpointLoad): number =>
    engine.memoryTokens - load.assignments.reduce((sum, assignment) => sum + assignment.memoryTokens, 0);
