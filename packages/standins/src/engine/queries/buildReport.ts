import type { EngineReport } from "@currantrill/protocol";
import { getUsedTokens } from "../model/engineMemory.js";
import type { EngineState } from "../model/engineState.js";

/** Builds a load report of the current state. The engine publishes one per report interval only. */
export function buildReport(state: EngineState): EngineReport {
    const requests = [...state.pending, ...state.running];
    return {
        endpoint_id: state.settings.endpointId,
        sequence: state.reportSequence,
        queued_prefill_tokens: requests.reduce(
            (sum, { totalPrefillTokens, completedPrefillTokens }) => sum + totalPrefillTokens - completedPrefillTokens,
            0,
        ),
        running_requests: state.running.length,
        slots: state.settings.slots,
        memory_used_tokens: getUsedTokens(state.memory),
        memory_total_tokens: state.memory.totalTokens,
        models: [...state.models].map(([name, version]) => ({ name, version })),
        role: state.role,
        lending: state.lending,
        highest_fence: state.highestFence,
        cache_sequence: state.cache.sequence,
    };
}
