/** A model engine by its published figures, in virtual time: passes, chunks, pairs, batching, memory, parts. */
import type { EngineProfile } from "@currantrill/forwarding";
import type { EventQueue } from "../../simulation/model/eventQueue.js";

/** Work on one engine: a whole prompt, or a part whose answer is written elsewhere. */
export interface EngineWork {
    readonly promptTokens: number;
    /** Endpoints among which the prompt is split, 1 for a whole prompt. */
    readonly parts: number;
    readonly isPart: boolean;
    readonly events: number;
    /** Memory that it takes here. */
    readonly memoryTokens: number;
    /** Called at the end of the pass in which this engine has read its share. */
    readonly onRead: () => void;
    readonly onEvent: (index: number) => void;
    readonly onEnd: () => void;
}

interface Running extends EngineWork {
    /** Reading that is left here. */
    tokensLeft: number;
    /** Whether all shares of the prompt have been read, and the answer is written. */
    isWriting: boolean;
    written: number;
}

export interface EngineModel {
    /** Starts work, or queues it while all slots are taken. */
    readonly add: (work: EngineWork) => EngineHandle;
}

export interface EngineHandle {
    /** Starts writing; called once all parts have been read. */
    readonly write: () => void;
    /** Ends work before its end. */
    readonly remove: () => void;
}

const TOKENS_PER_MILLION_PAIRS = 1_000_000;

/** Creates an idle engine. */
export function createEngineModel(engine: EngineProfile, queue: EventQueue): EngineModel {
    let running: Running[] = [];
    let waiting: Running[] = [];
    let isInPass = false;

    const admit = (): void => {
        const wholes = running.filter(work => !work.isPart).length;
        const free = Math.max(0, engine.slots - wholes);
        running.push(...waiting.slice(0, free));
        waiting = waiting.slice(free);
    };
    const remove = (work: Running): void => {
        running = running.filter(other => other !== work);
        waiting = waiting.filter(other => other !== work);
    };
    const startPass = (): void => {
        admit();
        const writers = running.filter(work => work.isWriting);
        if (writers.length === 0 && !running.some(work => work.tokensLeft > 0)) {
            isInPass = false;
            return;
        }
        isInPass = true;
        const steps = writers.length === 0 ? 1 : engine.stepsPerIteration;
        const { ms, finished } = readChunk(engine, running, engine.chunkTokens * steps);
        queue.schedule(steps * measureStep(engine, running, writers) + ms, () => endPass(writers, finished));
    };
    const endPass = (writers: readonly Running[], finished: readonly Running[]): void => {
        for (const work of writers) {
            work.written += 1;
            work.onEvent(work.written);
            if (work.written >= work.events) {
                remove(work);
                work.onEnd();
            }
        }
        finished.forEach(work => work.onRead());
        startPass();
    };
    return {
        add: work => {
            const share = Math.ceil(work.promptTokens / work.parts);
            const added: Running = { ...work, tokensLeft: share, isWriting: false, written: 0 };
            (work.isPart ? running : waiting).push(added);
            if (!isInPass) {
                startPass();
            }
            return {
                remove: () => remove(added),
                write: () => {
                    added.isWriting = true;
                    added.written = 1;
                    added.onEvent(1);
                    if (added.events <= 1) {
                        remove(added);
                        added.onEnd();
                    }
                    if (!isInPass) {
                        startPass();
                    }
                },
            };
        },
    };
}

/**
 * Reads up to a number of tokens: parts ahead of everything that came before them, then whole prompts in the order of
 * their arrival. Returns the time it takes and what was finished.
 */
function readChunk(
    engine: EngineProfile,
    running: readonly Running[],
    tokens: number,
): { ms: number; finished: Running[]; } {
    let left = tokens;
    let ms = 0;
    const finished: Running[] = [];
    const joint = running.filter(work => work.parts > 1).reverse();
    const readers = [...joint, ...running.filter(work => work.parts === 1)];
    for (const work of readers.filter(reader => reader.tokensLeft > 0)) {
        const taken = Math.min(left, work.tokensLeft);
        ms += taken / engine.prefillTokensPerMs + readPairs(engine, work, taken);
        work.tokensLeft -= taken;
        left -= taken;
        if (work.tokensLeft === 0) {
            finished.push(work);
        }
    }
    return { ms, finished };
}

/** Each part has its share of the pairs of the whole prompt; the share of a chunk grows with what was read before. */
function readPairs(engine: EngineProfile, work: Running, taken: number): number {
    const share = work.promptTokens / work.parts;
    const before = share - work.tokensLeft;
    const fraction = ((before + taken) ** 2 - before ** 2) / share ** 2;
    const pairs = work.promptTokens ** 2 / 2 / work.parts;
    return fraction * pairs / TOKENS_PER_MILLION_PAIRS * engine.msPerMillionPairs;
}

function measureStep(engine: EngineProfile, running: readonly Running[], writers: readonly Running[]): number {
    const context = writers.reduce((sum, work) => sum + work.promptTokens / work.parts, 0)
        + running.filter(work => work.isPart && work.tokensLeft === 0).reduce(
            (sum, work) => sum + work.memoryTokens,
            0,
        );
    const hop = writers.some(work => work.parts > 1) ? engine.hopMs : 0;
    return engine.stepMs + writers.length * engine.stepPerDecodeMs + context / 1_000 * engine.stepPerContextMs + hop;
}
