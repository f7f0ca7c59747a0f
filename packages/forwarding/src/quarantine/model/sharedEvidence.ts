import type { ServiceId } from "@currantrill/protocol";
import type { PartAnswers } from "./answerLog.js";
import type { CrashReport } from "./crashReport.js";
import type { QuarantineEntry } from "./quarantineEntry.js";

/** Answers on prompts with a part that a recent crash report names. */
export interface SuspectAnswers extends PartAnswers {
    readonly service: ServiceId;
    readonly part: string;
}

/** What hosts tell each other about parts of prompts that may crash endpoints. */
export interface SharedEvidence {
    readonly reports: readonly CrashReport[];
    readonly answers: readonly SuspectAnswers[];
    readonly entries: readonly QuarantineEntry[];
}

export const emptyEvidence: SharedEvidence = { reports: [], answers: [], entries: [] };
