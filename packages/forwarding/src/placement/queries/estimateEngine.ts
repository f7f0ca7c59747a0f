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

/** Part of a prompt's reading time that is assumed to be left while it is known to be unread after its expected end. */
const OVERDUE_SHARE = 0.2;

/**
 * Time until the prompts that are on the endpoint have been read. They are read in the order of their arrival, but a part
 * is read ahead of whole prompts, and a short part may be read before a long one. The work that was done for parts counts
 * even after they have been read, since whole prompts waited for it.
 */
export function estimateBacklogMs(load: EndpointLoad, nowMs: number, isPart = false): number {
    const queue = load.bookings
        .filter(booking => booking.readMs > 0 && (booking.isPart || !isPart))
        .sort((a, b) => a.startedAtMs - b.startedAtMs);
    const { endMs } = queue.reduce<ReadingEnd>(
        (previous, booking) => estimateReadEnd(booking, previous, load.pace),
        { endMs: -Infinity, isCertain: true },
    );
    const overdueMs = queue
        .filter(booking => booking.readAtMs === undefined && !booking.isPart)
        .reduce((longest, booking) => Math.max(longest, booking.readMs * OVERDUE_SHARE), 0);
    return Math.max(overdueMs, endMs - nowMs);
}

interface ReadingEnd {
    readonly endMs: number;
    /** Whether all bookings so far have been read, so that a later one's end is that of all. */
    readonly isCertain: boolean;
}

/** When a booking and those before it have been read. */
function estimateReadEnd(booking: Booking, previous: ReadingEnd, pace: number): ReadingEnd {
    const { readAtMs, isPart } = booking;
    const expectedMs = Math.max(previous.endMs, booking.startedAtMs) + booking.readMs * pace;
    if (readAtMs === undefined) {
        return { endMs: expectedMs, isCertain: false };
    }
    if (!previous.isCertain) {
        // It has overtaken one that is still being read, which has waited for it.
        return { endMs: expectedMs, isCertain: false };
    }
    return { endMs: isPart ? Math.min(expectedMs, readAtMs) : readAtMs, isCertain: true };
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
