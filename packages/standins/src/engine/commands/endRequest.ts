import { recordEntry } from "../../model/ledgerState.js";
import { getFreeTokens } from "../model/engineMemory.js";
import { type EngineRequest, type EngineState, getImplicitTokens } from "../model/engineState.js";
import { addPrefixes } from "../model/prefixCache.js";

/** How a request ended, as the ledger states it. */
export type RequestOutcome = "finished" | "cancelled" | "failed: allocation gone" | "failed: member gone";

/**
 * Removes a request from the queue or the batch, frees its memory, ends its stream and records the outcome. The prefixes
 * of a finished request are added to the prefix cache. Does nothing if the request has already ended.
 */
export function endRequest(state: EngineState, request: EngineRequest, requestOutcome: RequestOutcome): void {
    const running = state.running.includes(request);
    if (!running && !state.pending.includes(request)) {
        return;
    }
    if (running) {
        state.memory.implicitTokens -= getImplicitTokens(request);
    }
    state.running = state.running.filter(entry => entry !== request);
    state.pending = state.pending.filter(entry => entry !== request);
    const { request_id, attempt_id, prefix_hashes, prompt_tokens } = request.body;
    if (requestOutcome === "finished") {
        addPrefixes(state.cache, prefix_hashes, prompt_tokens, getFreeTokens(state.memory));
    }
    recordEntry(state.ledger, {
        requestId: request_id,
        attemptId: attempt_id,
        action: "generate",
        outcome: requestOutcome,
    });
    request.response.end();
}
