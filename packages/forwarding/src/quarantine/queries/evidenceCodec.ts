/** Encoding of what hosts tell each other about crashes. Times are encoded as ages, because hosts share no clock. */
import { toServiceId } from "@currantrill/protocol";
import type { SharedEvidence } from "../model/sharedEvidence.js";
import { getRequestDigest, type SuspectId, toRequestSuspect } from "../model/suspect.js";

type ReportRow = readonly [
    endpointId: string,
    processStartedAtMs: number,
    service: string,
    ageMs: number,
    begunParts: readonly SuspectId[],
    waitingParts: readonly SuspectId[],
    /** Ignored by builds that track parts only, and absent in their messages. */
    requests?: readonly RequestRow[],
];
type RequestRow = readonly [digest: string, ageMs: number];
type AnswersRow = readonly [service: string, suspect: SuspectId, count: number, ageMs: number];
type EntryRow = readonly [
    service: string,
    suspect: SuspectId,
    revision: number,
    isIsolated: boolean,
    ageMs: number,
    trials: number,
];

/** Shared evidence on the wire. Absent in messages without any, and of builds that know no quarantine. */
export type EvidenceRow = readonly [reports: ReportRow[], answers: AnswersRow[], entries: EntryRow[]];

/** Encodes evidence. Returns `null` if there is none. `nowMs` is the time of the sender's monotonic clock. */
export function encodeEvidence({ reports, answers, entries }: SharedEvidence, nowMs: number): EvidenceRow | null {
    if (reports.length === 0 && answers.length === 0 && entries.length === 0) {
        return null;
    }
    // Rounded up, so that nothing becomes younger by being told.
    const getAge = (atMs: number): number => Math.ceil(nowMs - atMs);
    return [
        reports.map(each => [
            each.endpointId,
            each.processStartedAtMs,
            each.service,
            getAge(each.crashedAtMs),
            each.begunParts,
            each.waitingParts,
            each.requests.map(({ suspect, sentAtMs }): RequestRow => [getRequestDigest(suspect), getAge(sentAtMs)]),
        ]),
        answers.map(each => [each.service, each.suspect, each.count, getAge(each.lastAtMs)]),
        entries.map(each => [
            each.service,
            each.suspect,
            each.revision,
            each.isIsolated,
            getAge(each.changedAtMs),
            each.trials,
        ]),
    ];
}

/** Decodes evidence. `nowMs` is the time of the receiver's monotonic clock. */
export function decodeEvidence([reports, answers, entries]: EvidenceRow, nowMs: number): SharedEvidence {
    return {
        reports: reports.map((
            [endpointId, processStartedAtMs, service, ageMs, begunParts, waitingParts, requests],
        ) => ({
            endpointId,
            processStartedAtMs,
            service: toServiceId(service),
            crashedAtMs: nowMs - ageMs,
            begunParts,
            waitingParts,
            requests: (requests ?? []).map(([digest, requestAgeMs]) => ({
                suspect: toRequestSuspect(digest),
                sentAtMs: nowMs - requestAgeMs,
            })),
        })),
        answers: answers.map(([service, suspect, count, ageMs]) => ({
            service: toServiceId(service),
            suspect,
            count,
            lastAtMs: nowMs - ageMs,
        })),
        entries: entries.map(([service, suspect, revision, isIsolated, ageMs, trials]) => ({
            service: toServiceId(service),
            suspect,
            revision,
            isIsolated,
            changedAtMs: nowMs - ageMs,
            trials,
        })),
    };
}
