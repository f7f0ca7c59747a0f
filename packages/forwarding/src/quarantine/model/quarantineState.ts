/** State of the quarantine of one host: crashes, answers, and what is isolated. */
import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import { type Evidence, findCulprits, findSuspects, listSuspicions, type Suspicion } from "../queries/findCulprits.js";
import { type AnswerLog, createAnswerLog } from "./answerLog.js";
import { createCrashLog } from "./crashLog.js";
import { type CrashReport, listAllSuspects, listSuspects } from "./crashReport.js";
import { createEntryTable, type EntryTable } from "./entryTable.js";
import { isNewer, type QuarantineEntry } from "./quarantineEntry.js";
import { createRequestIndex, type RequestIndex } from "./requestIndex.js";
import type { SharedEvidence, SuspectAnswers } from "./sharedEvidence.js";
import { getSuspectKind, type SuspectId } from "./suspect.js";
import { createSuspectKey, type SuspectKey } from "./suspectKey.js";
import type { TrackedRequest } from "./trackedRequest.js";

/** Time for which a crash is announced to peers, ten times the interval of their messages. */
const SHARE_MS = 5_000;
/** Limits on what a message carries. */
const MAX_SHARED_REPORTS = 16;
const MAX_SHARED_ANSWERS = 128;

export interface QuarantineStateOptions {
    readonly getSettings: () => ForwardingSettings["quarantine"];
    /** Called when an entry is new or has changed. `suspicion` is set if this host has found the suspect. */
    readonly onEntry: (entry: QuarantineEntry, suspicion?: Suspicion) => void;
    /** Called when an entry is dropped. */
    readonly onForgotten: (entry: QuarantineEntry) => void;
    /** Called when a peer does not know something yet, which is then to be announced. */
    readonly onNews: () => void;
}

export interface QuarantineState {
    /** Lists the parts of a request, and its id as a whole if it may be a suspected one. */
    readonly listSuspects: (request: TrackedRequest) => readonly SuspectId[];
    /**
     * Returns the entry of the first of the suspects that is isolated. A request that is isolated in another service is
     * so in this one, too, until this one has answered it: a change of the configuration may have moved its route.
     */
    readonly findIsolated: (service: ServiceId, suspects: readonly SuspectId[]) => QuarantineEntry | undefined;
    /**
     * Returns whether a suspect is isolated, or requests with it were on several endpoints that crashed and none has
     * been answered since.
     */
    readonly isSuspect: (service: ServiceId, suspects: readonly SuspectId[], nowMs: number) => boolean;
    /** Counts the crashes under a whole request since the last answer to it. */
    readonly countCrashes: (request: TrackedRequest, nowMs: number) => number;
    readonly recordAnswer: (request: TrackedRequest, beganAtMs: number) => void;
    readonly recordCrash: (report: CrashReport, nowMs: number) => void;
    /** Replaces an entry by one with the next revision. */
    readonly change: (
        entry: QuarantineEntry,
        changes: Partial<Pick<QuarantineEntry, "isIsolated" | "changedAtMs" | "trials">>,
    ) => void;
    /** Drops what is too old, and isolates what time has proved to be at fault. */
    readonly sweep: (nowMs: number) => void;
    /** Lists what peers have to know. */
    readonly share: (nowMs: number) => SharedEvidence;
    readonly merge: (shared: SharedEvidence, nowMs: number) => void;
    readonly list: () => readonly QuarantineEntry[];
}

/** Creates an empty quarantine. */
export function createQuarantineState(options: QuarantineStateOptions): QuarantineState {
    const answers = createAnswerLog();
    const crashes = createCrashLog();
    const entries = createEntryTable();
    /** Created again when it is needed after a change of the crashes or entries. */
    let index: RequestIndex | undefined;
    const getIndex = (): RequestIndex => index ??= createRequestIndex(crashes.list(), entries.list());

    const listRequestSuspects = (request: TrackedRequest): readonly SuspectId[] => {
        const suspect = getIndex().find(request);
        return suspect === undefined ? request.parts : [...request.parts, suspect];
    };
    const findIsolated: QuarantineState["findIsolated"] = (service, suspects) =>
        entries.findIsolated(service, suspects)
            ?? suspects.map(suspect => findIsolatedElsewhere(service, suspect, { answers, entries })).find(Boolean);
    const buildEvidence = (nowMs: number): Evidence => ({
        reports: crashes.list().filter(report => !isExplained(report, entries)),
        getAnswers: answers.get,
        getLastAnswer: answers.getLastOfService,
        nowMs,
    });
    const put = (entry: QuarantineEntry, suspicion?: Suspicion): void => {
        index = undefined;
        entries.put(entry).forEach(options.onForgotten);
        options.onEntry(entry, suspicion);
        options.onNews();
    };
    const evaluate = (nowMs: number): void => {
        for (const suspicion of findCulprits(buildEvidence(nowMs), options.getSettings().crashes)) {
            const { service, suspect } = suspicion;
            const revision = (entries.get(service, suspect)?.revision ?? 0) + 1;
            put({ service, suspect, revision, isIsolated: true, changedAtMs: nowMs, trials: 0 }, suspicion);
        }
    };
    const addReports = (reports: readonly CrashReport[], nowMs: number): void => {
        if (reports.map(crashes.add).includes(true)) {
            index = undefined;
            options.onNews();
            evaluate(nowMs);
        }
    };
    return {
        listSuspects: listRequestSuspects,
        findIsolated,
        isSuspect: (service, suspects, nowMs) =>
            findIsolated(service, suspects) !== undefined
            || suspects.length > 0 && findSuspects(buildEvidence(nowMs)).some(each =>
                    each.service === service && suspects.includes(each.suspect)
                ),
        countCrashes: (request, nowMs) => {
            const suspect = getIndex().find(request);
            return suspect === undefined ? 0 : countCrashesUnder(request.service, suspect, buildEvidence(nowMs));
        },
        recordAnswer: (request, beganAtMs) => answers.record(request.service, listRequestSuspects(request), beganAtMs),
        recordCrash: (report, nowMs) => addReports([report], nowMs),
        change: (entry, changes) => put({ ...entry, ...changes, revision: entry.revision + 1 }),
        sweep: nowMs => {
            crashes.expire(nowMs);
            entries.expire(nowMs - options.getSettings().forget_after_ms).forEach(options.onForgotten);
            index = undefined;
            // Time only proves what has happened a moment ago; the rest has been evaluated before.
            if (listRecent(crashes.list(), nowMs).length > 0) {
                evaluate(nowMs);
            }
        },
        share: nowMs => {
            const reports = listRecent(crashes.list(), nowMs).slice(-MAX_SHARED_REPORTS);
            return { reports, answers: listSuspectAnswers(reports, answers), entries: entries.list() };
        },
        merge: (shared, nowMs) => {
            shared.answers.forEach(({ service, suspect, ...known }) => answers.merge(service, suspect, known));
            const { forget_after_ms: forgetAfterMs } = options.getSettings();
            shared.entries
                .filter(entry => nowMs - entry.changedAtMs <= forgetAfterMs)
                .filter(entry => isNewer(entry, entries.get(entry.service, entry.suspect)))
                .forEach(entry => put(entry));
            addReports(shared.reports, nowMs);
        },
        list: entries.list,
    };
}

const listRecent = (reports: readonly CrashReport[], nowMs: number): readonly CrashReport[] =>
    reports.filter(report => nowMs - report.crashedAtMs < SHARE_MS);

/** Returns whether a suspect that is or was isolated is to blame for a crash. */
const isExplained = (report: CrashReport, entries: EntryTable): boolean =>
    listSuspects(report).some(suspect => {
        const entry = entries.get(report.service, suspect);
        return entry !== undefined && (entry.isIsolated || report.crashedAtMs <= entry.changedAtMs);
    });

/** Finds the entry of a whole request that is isolated in another service, if this one has not answered it. */
function findIsolatedElsewhere(
    service: ServiceId,
    suspect: SuspectId,
    { answers, entries }: { readonly answers: AnswerLog; readonly entries: EntryTable; },
): QuarantineEntry | undefined {
    return getSuspectKind(suspect) === "part" || answers.get(service, suspect) !== undefined
        ? undefined
        : entries.list().find(entry => entry.suspect === suspect && entry.service !== service && entry.isIsolated);
}

const countCrashesUnder = (service: ServiceId, suspect: SuspectId, evidence: Evidence): number =>
    listSuspicions(evidence).find(each => each.service === service && each.suspect === suspect)?.crashes.length ?? 0;

/** Lists the answers that are known on the suspects that the reports name. */
function listSuspectAnswers(reports: readonly CrashReport[], answers: AnswerLog): readonly SuspectAnswers[] {
    const listed = new Map<SuspectKey, SuspectAnswers>();
    for (const report of reports) {
        const { service } = report;
        for (const suspect of listAllSuspects(report)) {
            const known = answers.get(service, suspect);
            if (known !== undefined && listed.size < MAX_SHARED_ANSWERS) {
                listed.set(createSuspectKey(service, suspect), { service, suspect, ...known });
            }
        }
    }
    return [...listed.values()];
}
