import type { ServiceId } from "@currantrill/protocol";
import type { SuspectId } from "./suspect.js";

/** The end of an endpoint's process while prompts were on it, merged from the reports of all hosts. */
export interface CrashReport {
    readonly endpointId: string;
    /** Distinguishes the runs of an endpoint that keeps its id, in Unix milliseconds. */
    readonly processStartedAtMs: number;
    readonly service: ServiceId;
    /** Time on the monotonic clock of this host. */
    readonly crashedAtMs: number;
    /**
     * Shared parts of prompts whose response had begun without any event, in the order of the prompts. An endpoint that
     * fails as it begins to write an answer is in this state for the prompt at fault; other prompts are in it for a few
     * milliseconds.
     */
    readonly begunParts: readonly SuspectId[];
    /** Shared parts of prompts whose response had not begun, or had one event. */
    readonly waitingParts: readonly SuspectId[];
}

/** Returns a key that all hosts use for the same crash. */
export const describeCrash = ({ endpointId, processStartedAtMs }: CrashReport): string =>
    `${endpointId}@${processStartedAtMs}`;

/** Lists the parts that may have caused the crash: those of responses that had begun, if any host has reported some. */
export const listSuspects = ({ begunParts, waitingParts }: CrashReport): readonly SuspectId[] =>
    begunParts.length > 0 ? begunParts : waitingParts;

/** Merges two reports of the same crash. */
export const mergeReports = (known: CrashReport, added: CrashReport): CrashReport => ({
    ...known,
    crashedAtMs: Math.min(known.crashedAtMs, added.crashedAtMs),
    begunParts: mergeParts(known.begunParts, added.begunParts),
    waitingParts: mergeParts(known.waitingParts, added.waitingParts),
});

/** Limit on the parts of a report. An endpoint runs up to 16 prompts at once, of which few have no event yet. */
const MAX_PARTS = 32;

const mergeParts = (known: readonly SuspectId[], added: readonly SuspectId[]): readonly SuspectId[] =>
    [...new Set([...known, ...added])].slice(0, MAX_PARTS);
