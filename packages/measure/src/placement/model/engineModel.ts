/**
 * Simulates an engine in virtual time from its profile: batch iterations of several steps, chunked prefill with a cost
 * for pairs of tokens, decoding, slots, memory and sharded prefill.
 */
import type { EngineProfile } from "@currantrill/forwarding";
import type { EventQueue } from "../../simulation/model/eventQueue.js";

/** Work on one engine: a whole prompt, the primary shard of a sharded one, or a helper shard without the decoding. */
export interface EngineWork {
    readonly promptTokens: number;
    /** Number of engines that prefill the prompt, 1 for a whole prompt. */
    readonly shardCount: number;
    /** Whether another engine decodes the answer. */
    readonly isHelperShard: boolean;
    /** Number of events of the answer; a batch iteration decodes one event. */
    readonly events: number;
    /** Memory that the work occupies on this engine. */
    readonly memoryTokens: number;
    /** Called at the end of the iteration that completes the prefill of this shard. */
    readonly onPrefillEnd: () => void;
    /** Called with the number of decoded events, including the new one. */
    readonly onEvent: (index: number) => void;
    readonly onEnd: () => void;
}

interface RunningWork extends EngineWork {
    /** Prompt tokens of this shard that are still to be prefilled. */
    pendingPrefillTokens: number;
    /** Whether all shards of the prompt have been prefilled, and this engine decodes the answer. */
    isDecoding: boolean;
    decodedEvents: number;
}

export interface EngineModel {
    /** Starts work, or queues it while all slots are in use. A helper shard needs no slot. */
    readonly add: (work: EngineWork) => EngineHandle;
}

/** Handle to work that was added to an engine. */
export interface EngineHandle {
    /** Starts decoding; to be called once all shards have been prefilled. The first event follows immediately. */
    readonly startDecode: () => void;
    /** Removes the work before its end, without a callback. */
    readonly remove: () => void;
}

const PAIRS_PER_MILLION = 1_000_000;

/** Creates an idle engine. */
export function createEngineModel(engine: EngineProfile, queue: EventQueue): EngineModel {
    let running: RunningWork[] = [];
    let pending: RunningWork[] = [];
    let isIterating = false;

    const admit = (): void => {
        const primaryCount = running.filter(work => !work.isHelperShard).length;
        const freeSlots = Math.max(0, engine.slots - primaryCount);
        running.push(...pending.slice(0, freeSlots));
        pending = pending.slice(freeSlots);
    };
    const remove = (work: RunningWork): void => {
        running = running.filter(other => other !== work);
        pending = pending.filter(other => other !== work);
    };
    const startIteration = (): void => {
        admit();
        const decoding = running.filter(work => work.isDecoding);
        if (decoding.length === 0 && !running.some(work => work.pendingPrefillTokens > 0)) {
            isIterating = false;
            return;
        }
        isIterating = true;
        const steps = decoding.length === 0 ? 1 : engine.stepsPerIteration;
        const { prefillMs, prefilled } = advancePrefill(engine, running, engine.chunkTokens * steps);
        queue.schedule(
            steps * computeStepMs(engine, running, decoding) + prefillMs,
            () => finishIteration(decoding, prefilled),
        );
    };
    const finishIteration = (decoding: readonly RunningWork[], prefilled: readonly RunningWork[]): void => {
        for (const work of decoding) {
            work.decodedEvents += 1;
            work.onEvent(work.decodedEvents);
            if (work.decodedEvents >= work.events) {
                remove(work);
                work.onEnd();
            }
        }
        prefilled.forEach(work => work.onPrefillEnd());
        startIteration();
    };
    return {
        add: work => {
            const shardTokens = Math.ceil(work.promptTokens / work.shardCount);
            const added: RunningWork = {
                ...work,
                pendingPrefillTokens: shardTokens,
                isDecoding: false,
                decodedEvents: 0,
            };
            (work.isHelperShard ? running : pending).push(added);
            if (!isIterating) {
                startIteration();
            }
            return {
                remove: () => remove(added),
                startDecode: () => {
                    added.isDecoding = true;
                    added.decodedEvents = 1;
                    added.onEvent(1);
                    if (added.events <= 1) {
                        remove(added);
                        added.onEnd();
                    }
                    if (!isIterating) {
                        startIteration();
                    }
                },
            };
        },
    };
}

/**
 * Prefills up to a number of tokens: first the shards of sharded prompts, the newest first, then whole prompts in the
 * order of their arrival. Returns the time and the work whose prefill is complete.
 */
function advancePrefill(
    engine: EngineProfile,
    running: readonly RunningWork[],
    tokens: number,
): { prefillMs: number; prefilled: RunningWork[]; } {
    let budget = tokens;
    let prefillMs = 0;
    const prefilled: RunningWork[] = [];
    const shards = running.filter(work => work.shardCount > 1).reverse();
    const prefillOrder = [...shards, ...running.filter(work => work.shardCount === 1)];
    for (const work of prefillOrder.filter(candidate => candidate.pendingPrefillTokens > 0)) {
        const prefillTokens = Math.min(budget, work.pendingPrefillTokens);
        prefillMs += prefillTokens / engine.prefillTokensPerMs + computePairMs(engine, work, prefillTokens);
        work.pendingPrefillTokens -= prefillTokens;
        budget -= prefillTokens;
        if (work.pendingPrefillTokens === 0) {
            prefilled.push(work);
        }
    }
    return { prefillMs, prefilled };
}

/**
 * Computes the time for the pairs of tokens of a chunk. Each shard has an equal share of the pairs of the prompt, and a
 * chunk has the more of them the more tokens of the shard were prefilled before it.
 */
function computePairMs(engine: EngineProfile, work: RunningWork, prefillTokens: number): number {
    const shardTokens = work.promptTokens / work.shardCount;
    const prefilledTokens = shardTokens - work.pendingPrefillTokens;
    const fraction = ((prefilledTokens + prefillTokens) ** 2 - prefilledTokens ** 2) / shardTokens ** 2;
    const pairs = work.promptTokens ** 2 / 2 / work.shardCount;
    return fraction * pairs / PAIRS_PER_MILLION * engine.msPerMillionPairs;
}

/** Computes the duration of a step without prefill, from the decoding requests and the context that is in memory. */
function computeStepMs(
    engine: EngineProfile,
    running: readonly RunningWork[],
    decoding: readonly RunningWork[],
): number {
    const contextTokens = decoding.reduce((sum, work) => sum + work.promptTokens / work.shardCount, 0)
        + running.filter(work => work.isHelperShard && work.pendingPrefillTokens === 0).reduce(
            (sum, work) => sum + work.memoryTokens,
            0,
        );
    const hopMs = decoding.some(work => work.shardCount > 1) ? engine.hopMs : 0;
    return engine.stepMs + decoding.length * engine.stepPerDecodeMs + contextTokens / 1_000 * engine.stepPerContextMs
        + hopMs;
}
