import type { EngineProfile } from "../../configuration/model/servingConfiguration.js";
import type { AssignedWork } from "../model/assignmentRegistry.js";
import type { PromptPlacement } from "../model/promptPlacement.js";
import { estimatePrefillMs } from "./estimateEngine.js";
import type { PlacementRequest } from "./scoreEndpoint.js";

/**
 * Builds the work of a placed prompt: the one of the endpoint that decodes, then one for each endpoint that prefills a
 * further shard. Without an engine, the prefill takes no time.
 */
export function buildAssignedWork(
    engine: EngineProfile | undefined,
    request: PlacementRequest,
    placement: PromptPlacement,
): readonly AssignedWork[] {
    const { helperShards } = placement;
    const { promptTokens, answerTokens, targetMs, targetPauseMs } = request;
    const promptShards = helperShards.length + 1;
    const reservedTokens = helperShards.reduce((sum, shard) => sum + shard.reserveTokens, 0);
    const sharedFields = {
        prefillTokens: Math.ceil(promptTokens / promptShards),
        promptShards,
        prefillMs: engine === undefined ? 0 : estimatePrefillMs(engine, promptTokens, promptShards),
        targetMs,
        targetPauseMs,
    };
    return [
        {
            ...sharedFields,
            endpointId: placement.primaryId,
            memoryTokens: Math.max(0, promptTokens - reservedTokens) + answerTokens,
            isDecodedElsewhere: false,
        },
        ...helperShards.map(shard => ({
            ...sharedFields,
            endpointId: shard.endpointId,
            memoryTokens: shard.reserveTokens,
            isDecodedElsewhere: true,
        })),
    ];
}
