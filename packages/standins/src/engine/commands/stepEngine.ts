/**
 * Simulates continuous batching. Each engine step is one iteration of the batch: it decodes one token of every running
 * stream and uses the rest of its token budget for prefill.
 */
import { STREAM_TERMINATOR } from "@currantrill/protocol";
import { waitUntilUnfrozen } from "../../model/faultState.js";
import { expireAllocations, getFreeTokens } from "../model/engineMemory.js";
import { type EngineRequest, type EngineState, getImplicitTokens } from "../model/engineState.js";
import { evictPrefixes } from "../model/prefixCache.js";
import { endRequest } from "./endRequest.js";

/** Prefill tokens of one request that one step computes. */
interface PrefillChunk {
    readonly request: EngineRequest;
    readonly tokens: number;
}

/** One planned iteration of the batch. */
interface EngineStep {
    readonly decoding: readonly EngineRequest[];
    readonly chunks: readonly PrefillChunk[];
    readonly durationMs: number;
}

/** Starts the step loop unless it is running. The loop ends when the batch is empty. */
export function startStepLoop(state: EngineState): void {
    if (!state.isStepLoopRunning) {
        state.isStepLoopRunning = true;
        void runStepLoop(state);
    }
}

async function runStepLoop(state: EngineState): Promise<void> {
    let stepEndMs = performance.now();
    for (let step = startStep(state); step !== undefined; step = startStep(state)) {
        // Each step starts at the planned end of the previous one, so that late timers do not slow the engine down.
        stepEndMs = Math.max(stepEndMs + step.durationMs, performance.now());
        await new Promise(resolve => setTimeout(resolve, stepEndMs - performance.now()));
        await waitUntilUnfrozen(state.faults);
        finishStep(state, step);
    }
    state.isStepLoopRunning = false;
}

function startStep(state: EngineState): EngineStep | undefined {
    expireAllocations(state.memory);
    admitPendingRequests(state);
    if (state.running.length === 0) {
        return undefined;
    }
    const decoding = state.running.filter(isPrefilled);
    const chunks = planPrefill(state, decoding.length);
    const prefillMs = chunks.reduce((sum, { request, tokens }) => sum + tokens / countGangEngines(request), 0)
        * 1_000 / state.settings.prefillTokensPerSecond;
    const decodeMs = decoding.length === 0 ? 0 : 1_000 / state.settings.decodeTokensPerSecond;
    return { decoding, chunks, durationMs: prefillMs + decodeMs };
}

const isPrefilled = (request: EngineRequest): boolean => request.completedPrefillTokens >= request.totalPrefillTokens;
/** Number of engines that share the prefill: the engine itself and the other members of the gang. */
const countGangEngines = (request: EngineRequest): number => 1 + request.body.members.length;

/** Moves pending requests into the batch by priority and arrival, as long as slots and memory are free. */
function admitPendingRequests(state: EngineState): void {
    const ordered = state.pending.toSorted(compareRequests);
    for (const request of ordered) {
        const tokens = getImplicitTokens(request);
        if (state.running.length < state.settings.slots && tokens <= getFreeTokens(state.memory)) {
            state.memory.implicitTokens += tokens;
            state.pending = state.pending.filter(entry => entry !== request);
            state.running.push(request);
        }
    }
    evictPrefixes(state.cache, getFreeTokens(state.memory));
}

const compareRequests = (left: EngineRequest, right: EngineRequest): number =>
    right.body.priority - left.body.priority || left.arrivalNumber - right.arrivalNumber;

/** Distributes the step's remaining token budget over the requests in prefill, in order of priority and arrival. */
function planPrefill(state: EngineState, decodeTokens: number): PrefillChunk[] {
    let budget = state.settings.stepTokens - decodeTokens;
    const chunks: PrefillChunk[] = [];
    for (const request of state.running.filter(entry => !isPrefilled(entry)).toSorted(compareRequests)) {
        const tokens = Math.min(
            request.totalPrefillTokens - request.completedPrefillTokens,
            budget * countGangEngines(request),
        );
        if (tokens > 0) {
            chunks.push({ request, tokens });
            budget -= tokens / countGangEngines(request);
        }
    }
    return chunks;
}

function finishStep(state: EngineState, step: EngineStep): void {
    for (const { request, tokens } of step.chunks) {
        request.completedPrefillTokens += tokens;
        if (isPrefilled(request)) {
            sendToken(state, request);
        }
    }
    step.decoding.forEach(request => sendToken(state, request));
}

/** Streams the next token of a request, and ends the request after its last token or if its allocation was released. */
function sendToken(state: EngineState, request: EngineRequest): void {
    const { body, response } = request;
    if (!state.running.includes(request)) {
        return;
    }
    if (body.allocation_id !== undefined && !state.memory.allocations.has(body.allocation_id)) {
        endRequest(state, request, "failed: allocation gone");
        return;
    }
    if (request.nextTokenIndex < body.max_tokens) {
        const { request_id } = body;
        const token = {
            index: request.nextTokenIndex,
            text: formatToken(request_id, request.nextTokenIndex),
            request_id,
        };
        response.write(`data: ${JSON.stringify(token)}\n\n`);
        request.nextTokenIndex += 1;
    }
    if (request.nextTokenIndex >= body.max_tokens) {
        response.write(`data: ${STREAM_TERMINATOR}\n\n`);
        endRequest(state, request, "finished");
    }
}

/**
 * Text of a generated token. It depends only on the request and the position, so that every engine generates the same
 * answer and a test can verify it.
 */
export const formatToken = (requestId: string, index: number): string => `${requestId.slice(-4)}.${index} `;
