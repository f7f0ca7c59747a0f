import type { ServiceId } from "@currantrill/protocol";
import { type Evidence, listSuspicions, type Suspicion } from "../queries/findCulprits.js";
import type { AnswerLog } from "./answerLog.js";
import type { CrashLog } from "./crashLog.js";
import { type CrashReport, listSuspects } from "./crashReport.js";
import type { EntryTable } from "./entryTable.js";
import { createRequestIndex, type RequestIndex } from "./requestIndex.js";
import { getSuspectKind, type SuspectId, type SuspectKind } from "./suspect.js";
import { createSuspectKey, type SuspectKey } from "./suspectKey.js";
import type { TrackedRequest } from "./trackedRequest.js";

export interface SuspicionIndexOptions {
    readonly answers: AnswerLog;
    readonly crashes: CrashLog;
    readonly entries: EntryTable;
}

/** What follows from crashes, answers and entries, computed when it is needed after a change of them. */
export interface SuspicionIndex {
    /** Lists the parts of a request, and its id as a whole if it may be a suspected one. */
    readonly listSuspects: (request: TrackedRequest) => readonly SuspectId[];
    /** Counts the crashes under a whole request since the last answer to it. */
    readonly countCrashes: (request: TrackedRequest) => number;
    readonly buildEvidence: (nowMs: number) => Evidence;
    /** To be called after each change. */
    readonly invalidate: () => void;
}

export function createSuspicionIndex({ answers, crashes, entries }: SuspicionIndexOptions): SuspicionIndex {
    let requests: RequestIndex | undefined;
    let suspicions: ReadonlyMap<SuspectKey, Suspicion> | undefined;
    const getRequests = (): RequestIndex => requests ??= createRequestIndex(crashes.list(), entries.list());
    const buildEvidence = (nowMs: number): Evidence => ({
        reports: crashes.list().filter(report => !isExplained(report, "part", entries)),
        isRequestExplained: report => isExplained(report, "request", entries),
        getAnswers: answers.get,
        getLastAnswer: answers.getLastOfService,
        nowMs,
    });
    const getSuspicions = (): ReadonlyMap<SuspectKey, Suspicion> =>
        suspicions ??= new Map(
            listSuspicions(buildEvidence(performance.now()))
                .map(each => [createSuspectKey(each.service, each.suspect), each]),
        );
    const countOf = (service: ServiceId, suspect: SuspectId): number =>
        getSuspicions().get(createSuspectKey(service, suspect))?.crashes.length ?? 0;
    return {
        listSuspects: request => {
            const suspect = getRequests().find(request);
            return suspect === undefined ? request.parts : [...request.parts, suspect];
        },
        countCrashes: request => {
            const suspect = getRequests().find(request);
            return suspect === undefined ? 0 : countOf(request.service, suspect);
        },
        buildEvidence,
        invalidate: () => {
            requests = undefined;
            suspicions = undefined;
        },
    };
}

/** Returns whether a suspect of a kind that is or was isolated is to blame for a crash. */
const isExplained = (report: CrashReport, kind: SuspectKind, entries: EntryTable): boolean =>
    listSuspects(report).some(suspect => {
        const entry = getSuspectKind(suspect) === kind ? entries.get(report.service, suspect) : undefined;
        return entry !== undefined && (entry.isIsolated || report.crashedAtMs <= entry.changedAtMs);
    });
