import type { EngineReport } from "@currantrill/protocol";
import { getUsedTokens } from "../model/engineMemory.js";
import type { EngineState } from "../model/engineState.js";

/** Describes the load now. The engine publishes such a report only once per interval. */
export function buildReport(state: EngineState): EngineReport {
    const requests = [...state.waiting, ...state.running];
    return {
        endpoint_id: state.settings.endpointId,
        sequence: state.reportSequence,
        queued_prefill_tokens: requests.reduce(
            (sum, { prefillTotal, prefillDone }) => sum + prefillTotal - prefillDone,
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
