import type { ServiceId } from "@currantrill/protocol";
import type { KnownAnswers } from "./answerLog.js";
import type { CrashReport } from "./crashReport.js";
import type { QuarantineEntry } from "./quarantineEntry.js";
import type { SuspectId } from "./suspect.js";

/** Answers on a suspect that a recent crash report names. */
export interface SuspectAnswers extends KnownAnswers {
    readonly service: ServiceId;
    readonly suspect: SuspectId;
}

/** What hosts tell each other about what may crash endpoints. */
export interface SharedEvidence {
    readonly reports: readonly CrashReport[];
    readonly answers: readonly SuspectAnswers[];
    readonly entries: readonly QuarantineEntry[];
}

export const emptyEvidence: SharedEvidence = { reports: [], answers: [], entries: [] };
