import { recordEntry } from "../../model/ledgerState.js";
import { getFreeTokens } from "../model/engineMemory.js";
import { type EngineRequest, type EngineState, getImplicitTokens } from "../model/engineState.js";
import { addPrefixes } from "../model/prefixCache.js";

export type RequestEnd = "finished" | "cancelled" | "failed: allocation gone" | "failed: member gone";

/**
 * Takes a request out of the batch, frees its memory and ends its stream. Memory of a finished request passes to the
 * prefix cache. Does nothing if the request has ended before.
 */
export function endRequest(state: EngineState, request: EngineRequest, end: RequestEnd): void {
    const running = state.running.includes(request);
    if (!running && !state.waiting.includes(request)) {
        return;
    }
    if (running) {
        state.memory.implicitTokens -= getImplicitTokens(request);
    }
    state.running = state.running.filter(entry => entry !== request);
    state.waiting = state.waiting.filter(entry => entry !== request);
    const { request_id, attempt_id, prefix_hashes, prompt_tokens } = request.body;
    if (end === "finished") {
        addPrefixes(state.cache, prefix_hashes, prompt_tokens, getFreeTokens(state.memory));
    }
    recordEntry(state.ledger, { requestId: request_id, attemptId: attempt_id, action: "generate", outcome: end });
    request.response.end();
}
