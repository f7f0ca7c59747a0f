import type { ServiceId } from "@currantrill/protocol";
import type { SuspectId } from "./suspect.js";

/** A suspect that has been found to crash endpoints. */
export interface QuarantineEntry {
    readonly service: ServiceId;
    readonly suspect: SuspectId;
    /** Incremented with each change. Of two entries for a suspect, the one with the higher revision holds. */
    readonly revision: number;
    /** Whether prompts with the suspect are refused. Once a trial has been answered, they are served again. */
    readonly isIsolated: boolean;
    /** Time of the isolation, or of the last trial since then, on the monotonic clock of this host. */
    readonly changedAtMs: number;
    /** Number of trials; each counts as failed until it is answered. */
    readonly trials: number;
}

/** Limit on the doublings of the time between two trials. */
const MAX_DOUBLINGS = 4;

/** Returns the time at which the next trial is due. It doubles with each failed one. */
export const getTrialAtMs = (entry: QuarantineEntry, retryAfterMs: number): number =>
    entry.changedAtMs + retryAfterMs * 2 ** Math.min(MAX_DOUBLINGS, entry.trials);

/** Returns whether an entry replaces another one. Two hosts may isolate a suspect at the same time. */
export const isNewer = (entry: QuarantineEntry, known: QuarantineEntry | undefined): boolean =>
    known === undefined || entry.revision > known.revision
    || entry.revision === known.revision && entry.isIsolated && !known.isIsolated;
