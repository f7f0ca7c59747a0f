import type { PromptPlacement } from "../model/promptPlacement.js";
import type { Placement } from "./choosePlacement.js";

/** Reduces a placement to what the host that serves the prompt needs. */
export const describePlacement = (
    { primary, helperShards, firstEventMs, backlogMs, cost }: Placement,
): PromptPlacement => ({
    primaryId: primary.id,
    helperShards: helperShards.map(({ load, reserveTokens }) => ({ endpointId: load.id, reserveTokens })),
    firstEventMs,
    backlogMs,
    cost,
    assignedCount: primary.assignments.length,
});
