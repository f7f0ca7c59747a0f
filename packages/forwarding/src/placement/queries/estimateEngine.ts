/** Estimates times of a model engine from its published figures and its assignments. */
import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { Booking } from "../model/booking.js";
import type { EndpointLoad } from "../model/endpointLoad.js";

/** Units of the published figures: a million pairs of tokens, and 1,000 tokens of context. */
const PAIRS_PER_UNIT = 1_000_000;
const TOKENS_PER_CONTEXT_UNIT = 1_000;

/**
 * Estimates the prefill time of a prompt on an idle engine, or of one of its equal shards, in milliseconds. Each chunk
 * takes a step.
 */
export function estimateReadMs(engine: EngineProfile, promptTokens: number, shardCount = 1): number {
    const pairs = promptTokens * promptTokens / 2;
    const total = promptTokens / engine.readTokensPerMs + pairs / PAIRS_PER_UNIT * engine.pairsMsPerMillion;
    const steps = promptTokens / engine.chunkTokens;
    return (total + steps * engine.stepMs) / shardCount;
}

/** Lists the assignments whose answers the endpoint is decoding. */
export const listDecoding = (load: EndpointLoad): readonly Booking[] =>
    load.bookings.filter(assignment => assignment.readAtMs !== undefined && !assignment.isPart);

/** Estimates the time of a batch iteration for the given decoding requests, without prefill, in milliseconds. */
export function estimateIterationMs(engine: EngineProfile, load: EndpointLoad, decoding: readonly Booking[]): number {
    const context = decoding.reduce((sum, assignment) => sum + assignment.memoryTokens, 0) / TOKENS_PER_CONTEXT_UNIT;
    const stepMs = engine.stepMs + decoding.length * engine.stepPerWriterMs + context * engine.stepPerContextMs;
    return stepMs * engine.stepsPerPass * load.pace;
}

/** Estimates how much of a prompt's prefill time falls into one batch iteration, in milliseconds. */
export function estimatePrefillPerIterationMs(engine: EngineProfile, prefillTokens: number, prefillMs: number): number {
    const perIteration = engine.chunkTokens * engine.stepsPerPass;
    return prefillTokens <= perIteration ? prefillMs : prefillMs * perIteration / prefillTokens;
}

/** Estimates the longest prefill time in one batch iteration, however much is pending, in milliseconds. */
export const estimateLongestPrefillMs = (engine: EngineProfile): number =>
    estimateReadMs(engine, engine.chunkTokens * engine.stepsPerPass);

/** Returns the memory that no assignment occupies, in tokens; negative if too much is assigned. */
export const getFreeTokens = (engine: EngineProfile, load: EndpointLoad): number =>
    engine.memoryTokens - load.bookings.reduce((sum, assignment) => sum + assignment.memoryTokens, 0);
