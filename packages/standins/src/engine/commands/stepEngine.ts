/** Continuous batching: each step decodes one token of every running stream and prefills with the rest of its budget. */
import { STREAM_TERMINATOR } from "@currantrill/protocol";
import { waitForThaw } from "../../model/faultState.js";
import { expireAllocations, getFreeTokens } from "../model/engineMemory.js";
import { type EngineRequest, type EngineState, getImplicitTokens } from "../model/engineState.js";
import { evictPrefixes } from "../model/prefixCache.js";
import { endRequest } from "./endRequest.js";

/** Part of a request's prefill that a step computes. */
interface PrefillChunk {
    readonly request: EngineRequest;
    readonly tokens: number;
}

interface EngineStep {
    readonly decoding: readonly EngineRequest[];
    readonly chunks: readonly PrefillChunk[];
    readonly durationMs: number;
}

/** Starts the step loop if it is not running. It ends when there is nothing to do. */
export function startSteps(state: EngineState): void {
    if (!state.stepping) {
        state.stepping = true;
        void runSteps(state);
    }
}

async function runSteps(state: EngineState): Promise<void> {
    let dueMs = performance.now();
    for (let step = startStep(state); step !== undefined; step = startStep(state)) {
        // Steps follow on from the planned end of the one before, so that late timers do not slow the engine down.
        dueMs = Math.max(dueMs + step.durationMs, performance.now());
        await new Promise(resolve => setTimeout(resolve, dueMs - performance.now()));
        await waitForThaw(state.faults);
        finishStep(state, step);
    }
    state.stepping = false;
}

function startStep(state: EngineState): EngineStep | undefined {
    expireAllocations(state.memory);
    admitWaiting(state);
    if (state.running.length === 0) {
        return undefined;
    }
    const decoding = state.running.filter(isPrefilled);
    const chunks = planPrefill(state, decoding.length);
    const prefillMs = chunks.reduce((sum, { request, tokens }) => sum + tokens / countEngines(request), 0)
        * 1_000 / state.settings.prefillTokensPerSecond;
    const decodeMs = decoding.length === 0 ? 0 : 1_000 / state.settings.decodeTokensPerSecond;
    return { decoding, chunks, durationMs: prefillMs + decodeMs };
}

const isPrefilled = (request: EngineRequest): boolean => request.prefillDone >= request.prefillTotal;
/** The members of a gang share the prefill. */
const countEngines = (request: EngineRequest): number => 1 + request.body.members.length;

function admitWaiting(state: EngineState): void {
    const ordered = state.waiting.toSorted(compareRequests);
    for (const request of ordered) {
        const tokens = getImplicitTokens(request);
        if (state.running.length < state.settings.slots && tokens <= getFreeTokens(state.memory)) {
            state.memory.implicitTokens += tokens;
            state.waiting = state.waiting.filter(entry => entry !== request);
            state.running.push(request);
        }
    }
    evictPrefixes(state.cache, getFreeTokens(state.memory));
}

const compareRequests = (left: EngineRequest, right: EngineRequest): number =>
    right.body.priority - left.body.priority || left.arrival - right.arrival;

function planPrefill(state: EngineState, decodeTokens: number): PrefillChunk[] {
    let budget = state.settings.stepTokens - decodeTokens;
    const chunks: PrefillChunk[] = [];
    for (const request of state.running.filter(entry => !isPrefilled(entry)).toSorted(compareRequests)) {
        const tokens = Math.min(request.prefillTotal - request.prefillDone, budget * countEngines(request));
        if (tokens > 0) {
            chunks.push({ request, tokens });
            budget -= tokens / countEngines(request);
        }
    }
    return chunks;
}

function finishStep(state: EngineState, step: EngineStep): void {
    for (const { request, tokens } of step.chunks) {
        request.prefillDone += tokens;
        if (isPrefilled(request)) {
            sendToken(state, request);
        }
    }
    step.decoding.forEach(request => sendToken(state, request));
}

function sendToken(state: EngineState, request: EngineRequest): void {
    const { body, response } = request;
    if (!state.running.includes(request)) {
        return;
    }
    if (body.allocation_id !== undefined && !state.memory.allocations.has(body.allocation_id)) {
        endRequest(state, request, "failed: allocation gone");
        return;
    }
    if (request.nextIndex < body.max_tokens) {
        const { request_id } = body;
        const token = { index: request.nextIndex, text: formatToken(request_id, request.nextIndex), request_id };
        response.write(`data: ${JSON.stringify(token)}\n\n`);
        request.nextIndex += 1;
    }
    if (request.nextIndex >= body.max_tokens) {
        response.write(`data: ${STREAM_TERMINATOR}\n\n`);
        endRequest(state, request, "finished");
    }
}

/** Text of a token. It depends on the request alone, so that every engine gives the same answer. */
export const formatToken = (requestId: string, index: number): string => `${requestId.slice(-4)}.${index} `;
