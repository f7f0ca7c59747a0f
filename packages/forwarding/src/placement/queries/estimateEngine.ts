/** Times of a model engine from its published figures and the bookings on it. */
import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { Booking } from "../model/booking.js";
import type { EndpointLoad } from "../model/endpointLoad.js";

const TOKENS_PER_MILLION_PAIRS = 1_000_000;
const TOKENS_PER_CONTEXT_UNIT = 1_000;

/** Time to read a prompt on an idle engine, or one of `parts` even parts of it, with a step for each chunk. */
export function estimateReadMs(engine: EngineProfile, promptTokens: number, parts = 1): number {
    const pairs = promptTokens * promptTokens / 2;
    const total = promptTokens / engine.readTokensPerMs + pairs / TOKENS_PER_MILLION_PAIRS * engine.pairsMsPerMillion;
    const steps = promptTokens / engine.chunkTokens;
    return (total + steps * engine.stepMs) / parts;
}

/** Bookings whose answers are being written on the endpoint. */
export const listWriters = (load: EndpointLoad): readonly Booking[] =>
    load.bookings.filter(booking => booking.readAtMs !== undefined && !booking.isPart);

/** Time of a pass that writes for `writers`, without reading. */
export function estimatePassMs(engine: EngineProfile, load: EndpointLoad, writers: readonly Booking[]): number {
    const context = writers.reduce((sum, booking) => sum + booking.memoryTokens, 0) / TOKENS_PER_CONTEXT_UNIT;
    const stepMs = engine.stepMs + writers.length * engine.stepPerWriterMs + context * engine.stepPerContextMs;
    return stepMs * engine.stepsPerPass * load.pace;
}

/** Longest reading that fits into one pass, as part of the time to read the whole prompt. */
export function estimateReadPerPassMs(engine: EngineProfile, readTokens: number, readMs: number): number {
    const perPass = engine.chunkTokens * engine.stepsPerPass;
    return readTokens <= perPass ? readMs : readMs * perPass / readTokens;
}

/** Longest reading in one pass, whatever waits. */
export const estimateLongestReadMs = (engine: EngineProfile): number =>
    estimateReadMs(engine, engine.chunkTokens * engine.stepsPerPass);

/** Memory in tokens that no booking takes. */
export const getFreeTokens = (engine: EngineProfile, load: EndpointLoad): number =>
    engine.memoryTokens - load.bookings.reduce((sum, booking) => sum + booking.memoryTokens, 0);
