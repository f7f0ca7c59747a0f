/** State of the quarantine of one host: crashes, answers, and the parts of prompts that are isolated. */
import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import { type Evidence, findCulprits, findSuspects, type Suspicion } from "../queries/findCulprits.js";
import { type AnswerLog, createAnswerLog } from "./answerLog.js";
import { createCrashLog } from "./crashLog.js";
import { type CrashReport, listSuspects } from "./crashReport.js";
import { createEntryTable } from "./entryTable.js";
import { createPartKey, type PartKey } from "./partKey.js";
import { isNewer, type QuarantineEntry } from "./quarantineEntry.js";
import type { SharedEvidence, SuspectAnswers } from "./sharedEvidence.js";

/** Time for which a crash is announced to peers, ten times the interval of their messages. */
const SHARE_MS = 5_000;
/** Limits on what a message carries. */
const MAX_SHARED_REPORTS = 16;
const MAX_SHARED_ANSWERS = 128;

export interface PartQuarantineOptions {
    readonly getSettings: () => ForwardingSettings["quarantine"];
    /** Called when an entry is new or has changed. `suspicion` is set if this host has found the part. */
    readonly onEntry: (entry: QuarantineEntry, suspicion?: Suspicion) => void;
    /** Called when an entry is dropped. */
    readonly onForgotten: (entry: QuarantineEntry) => void;
    /** Called when a peer does not know something yet, which is then to be announced. */
    readonly onNews: () => void;
}

export interface PartQuarantine {
    /** Returns the entry of an isolated part of a prompt, if it has one. */
    readonly findIsolated: (service: ServiceId, parts: readonly string[]) => QuarantineEntry | undefined;
    /**
     * Returns whether a part is isolated, or prompts with it were on several endpoints that crashed and none has been
     * answered since.
     */
    readonly isSuspect: (service: ServiceId, parts: readonly string[], nowMs: number) => boolean;
    readonly recordAnswer: (service: ServiceId, parts: readonly string[], beganAtMs: number) => void;
    readonly recordCrash: (report: CrashReport, nowMs: number) => void;
    /** Replaces an entry by one with the next revision. */
    readonly change: (
        entry: QuarantineEntry,
        changes: Partial<Pick<QuarantineEntry, "isIsolated" | "changedAtMs" | "trials">>,
    ) => void;
    /** Drops what is too old, and isolates parts that time has proved to be at fault. */
    readonly sweep: (nowMs: number) => void;
    /** Lists what peers have to know. */
    readonly share: (nowMs: number) => SharedEvidence;
    readonly merge: (shared: SharedEvidence, nowMs: number) => void;
    readonly list: () => readonly QuarantineEntry[];
}

/** Creates an empty quarantine. */
export function createPartQuarantine(options: PartQuarantineOptions): PartQuarantine {
    const answers = createAnswerLog();
    const crashes = createCrashLog();
    const entries = createEntryTable();

    const isExplained = (report: CrashReport): boolean =>
        listSuspects(report).some(part => {
            const entry = entries.get(report.service, part);
            return entry !== undefined && (entry.isIsolated || report.crashedAtMs <= entry.changedAtMs);
        });
    const buildEvidence = (nowMs: number): Evidence => ({
        reports: crashes.list().filter(report => !isExplained(report)),
        getAnswers: answers.get,
        getLastAnswer: answers.getLastOfService,
        nowMs,
    });
    const put = (entry: QuarantineEntry, suspicion?: Suspicion): void => {
        entries.put(entry).forEach(options.onForgotten);
        options.onEntry(entry, suspicion);
        options.onNews();
    };
    const evaluate = (nowMs: number): void => {
        for (const suspicion of findCulprits(buildEvidence(nowMs), options.getSettings().crashes)) {
            const { service, part } = suspicion;
            const revision = (entries.get(service, part)?.revision ?? 0) + 1;
            put({ service, part, revision, isIsolated: true, changedAtMs: nowMs, trials: 0 }, suspicion);
        }
    };
    const addReports = (reports: readonly CrashReport[], nowMs: number): void => {
        if (reports.map(crashes.add).includes(true)) {
            options.onNews();
            evaluate(nowMs);
        }
    };
    return {
        findIsolated: entries.findIsolated,
        isSuspect: (service, parts, nowMs) =>
            entries.findIsolated(service, parts) !== undefined
            || parts.length > 0 && findSuspects(buildEvidence(nowMs)).some(each =>
                    each.service === service && parts.includes(each.part)
                ),
        recordAnswer: answers.record,
        recordCrash: (report, nowMs) => addReports([report], nowMs),
        change: (entry, changes) => put({ ...entry, ...changes, revision: entry.revision + 1 }),
        sweep: nowMs => {
            crashes.expire(nowMs);
            entries.expire(nowMs - options.getSettings().forget_after_ms).forEach(options.onForgotten);
            // Time only proves what has happened a moment ago; the rest has been evaluated before.
            if (crashes.list().some(report => nowMs - report.crashedAtMs < SHARE_MS)) {
                evaluate(nowMs);
            }
        },
        share: nowMs => {
            const recent = crashes.list().filter(report => nowMs - report.crashedAtMs < SHARE_MS)
                .slice(-MAX_SHARED_REPORTS);
            return { reports: recent, answers: listSuspectAnswers(recent, answers), entries: entries.list() };
        },
        merge: (shared, nowMs) => {
            shared.answers.forEach(({ service, part, ...known }) => answers.merge(service, part, known));
            const { forget_after_ms: forgetAfterMs } = options.getSettings();
            shared.entries
                .filter(entry => nowMs - entry.changedAtMs <= forgetAfterMs)
                .filter(entry => isNewer(entry, entries.get(entry.service, entry.part)))
                .forEach(entry => put(entry));
            addReports(shared.reports, nowMs);
        },
        list: entries.list,
    };
}

/** Lists the answers that are known on prompts with parts that the reports name. */
function listSuspectAnswers(reports: readonly CrashReport[], answers: AnswerLog): readonly SuspectAnswers[] {
    const suspects = new Map<PartKey, SuspectAnswers>();
    for (const { service, begunParts, waitingParts } of reports) {
        for (const part of [...begunParts, ...waitingParts]) {
            const known = answers.get(service, part);
            if (known !== undefined && suspects.size < MAX_SHARED_ANSWERS) {
                suspects.set(createPartKey(service, part), { service, part, ...known });
            }
        }
    }
    return [...suspects.values()];
}
