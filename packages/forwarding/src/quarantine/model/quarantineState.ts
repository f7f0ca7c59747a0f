/** State of the quarantine of one host: crashes, answers, and what is isolated. */
import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import { findCulprits, findSuspects, type Suspicion } from "../queries/findCulprits.js";
import { type AnswerLog, createAnswerLog } from "./answerLog.js";
import { createCrashLog } from "./crashLog.js";
import { type CrashReport, listAllSuspects } from "./crashReport.js";
import { createEntryTable, type EntryTable } from "./entryTable.js";
import { isNewer, type QuarantineEntry } from "./quarantineEntry.js";
import type { SharedEvidence, SuspectAnswers } from "./sharedEvidence.js";
import { getSuspectKind, type SuspectId, type SuspectKind } from "./suspect.js";
import { createSuspectKey, type SuspectKey } from "./suspectKey.js";
import { createSuspicionIndex } from "./suspicionIndex.js";
import type { TrackedRequest } from "./trackedRequest.js";

/** Time for which a crash is announced to peers, ten times the interval of their messages. */
const SHARE_MS = 5_000;
/** Limits on what a message carries. */
const MAX_SHARED_REPORTS = 16;
const MAX_SHARED_ANSWERS = 128;
/** With ids of 64 characters, about half of the largest datagram. */
const MAX_SHARED_SUSPECTS = 400;

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
    readonly countCrashes: (request: TrackedRequest) => number;
    /** Records an answer that clears the parts of a request, or the request as a whole. */
    readonly recordAnswer: (request: TrackedRequest, cleared: SuspectKind, answeredAtMs: number) => void;
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
    const index = createSuspicionIndex({ answers, crashes, entries });
    const findIsolated: QuarantineState["findIsolated"] = (service, suspects) =>
        entries.findIsolated(service, suspects)
            ?? suspects.map(suspect => findIsolatedElsewhere(service, suspect, { answers, entries })).find(Boolean);
    const put = (entry: QuarantineEntry, suspicion?: Suspicion): void => {
        const dropped = entries.put(entry);
        index.invalidate();
        dropped.forEach(options.onForgotten);
        options.onEntry(entry, suspicion);
        options.onNews();
    };
    const evaluate = (nowMs: number): void => {
        for (const suspicion of findCulprits(index.buildEvidence(nowMs), options.getSettings().crashes)) {
            const { service, suspect } = suspicion;
            const revision = (entries.get(service, suspect)?.revision ?? 0) + 1;
            put({ service, suspect, revision, isIsolated: true, changedAtMs: nowMs, trials: 0 }, suspicion);
        }
    };
    const addReports = (reports: readonly CrashReport[], nowMs: number): void => {
        if (reports.map(crashes.add).includes(true)) {
            index.invalidate();
            options.onNews();
            evaluate(nowMs);
        }
    };
    return {
        listSuspects: index.listSuspects,
        findIsolated,
        isSuspect: (service, suspects, nowMs) =>
            findIsolated(service, suspects) !== undefined
            || suspects.length > 0 && findSuspects(index.buildEvidence(nowMs)).some(each =>
                    each.service === service && suspects.includes(each.suspect)
                ),
        countCrashes: index.countCrashes,
        recordAnswer: (request, cleared, answeredAtMs) => {
            const suspects = index.listSuspects(request).filter(each => getSuspectKind(each) === cleared);
            answers.record(request.service, suspects, answeredAtMs);
            if (suspects.length > 0) {
                index.invalidate();
            }
            // Peers learn of crashes at once, and must not blame a request that has been answered meanwhile.
            if (cleared === "request" && suspects.length > 0) {
                options.onNews();
            }
        },
        recordCrash: (report, nowMs) => addReports([report], nowMs),
        change: (entry, changes) => put({ ...entry, ...changes, revision: entry.revision + 1 }),
        sweep: nowMs => {
            crashes.expire(nowMs);
            entries.expire(nowMs - options.getSettings().forget_after_ms).forEach(options.onForgotten);
            index.invalidate();
            // Time only proves what has happened a moment ago; the rest has been evaluated before.
            if (listRecent(crashes.list(), nowMs).length > 0) {
                evaluate(nowMs);
            }
        },
        share: nowMs => {
            const reports = selectNewest(listRecent(crashes.list(), nowMs));
            return {
                reports,
                answers: [...listIsolatedAnswers(entries.list(), answers), ...listSuspectAnswers(reports, answers)]
                    .slice(0, MAX_SHARED_ANSWERS),
                entries: entries.list(),
            };
        },
        merge: (shared, nowMs) => {
            shared.answers.forEach(({ service, suspect, ...known }) => answers.merge(service, suspect, known));
            index.invalidate();
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

/** Selects the newest reports that fit into a message. */
function selectNewest(reports: readonly CrashReport[]): readonly CrashReport[] {
    let left = MAX_SHARED_SUSPECTS;
    return reports.slice(-MAX_SHARED_REPORTS).reverse().filter(report => {
        left -= listAllSuspects(report).length;
        return left >= 0;
    }).reverse();
}

const listRecent = (reports: readonly CrashReport[], nowMs: number): readonly CrashReport[] =>
    reports.filter(report => nowMs - report.crashedAtMs < SHARE_MS);

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

/** Lists the answers on isolated requests: services that have answered one go on with it. */
const listIsolatedAnswers = (entries: readonly QuarantineEntry[], answers: AnswerLog): readonly SuspectAnswers[] =>
    entries
        .filter(({ suspect, isIsolated }) => isIsolated && getSuspectKind(suspect) === "request")
        .flatMap(({ suspect }) => answers.list(suspect).map(known => ({ ...known, suspect })));

/** Lists the answers that are known on the suspects that the reports name; those on whole requests for all services. */
function listSuspectAnswers(reports: readonly CrashReport[], answers: AnswerLog): readonly SuspectAnswers[] {
    const listed = new Map<SuspectKey, SuspectAnswers>();
    const add = (found: SuspectAnswers): void => void listed.set(createSuspectKey(found.service, found.suspect), found);
    for (const { service, requests, begunParts, waitingParts } of reports) {
        requests.forEach(({ suspect }) => answers.list(suspect).forEach(known => add({ ...known, suspect })));
        [...begunParts, ...waitingParts].forEach(suspect => {
            const known = answers.get(service, suspect);
            if (known !== undefined) {
                add({ service, suspect, ...known });
            }
        });
    }
    return [...listed.values()];
}
