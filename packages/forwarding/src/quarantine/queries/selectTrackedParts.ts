import { type SuspectId, toPartSuspect } from "../model/suspect.js";

/** Longest id of a part that is tracked. The ids of the platform have 8 to 12 characters. */
const MAX_PART_LENGTH = 64;
/** Limit on the parts of a prompt that are tracked. */
const MAX_PROMPT_PARTS = 32;

/** Selects the parts of a prompt that the quarantine tracks. Ids of parts have no space; ids of requests have one. */
export const selectTrackedParts = (parts: readonly string[] | undefined): readonly SuspectId[] =>
    parts?.filter(part => part.length <= MAX_PART_LENGTH && !part.includes(" ")).slice(0, MAX_PROMPT_PARTS).map(
        toPartSuspect,
    ) ?? [];
