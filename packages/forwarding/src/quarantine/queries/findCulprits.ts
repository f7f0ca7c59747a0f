/** Finds what crashes endpoints, from the crashes that no known culprit explains. */
import type { ServiceId } from "@currantrill/protocol";
import type { KnownAnswers } from "../model/answerLog.js";
import { type CrashReport, listSuspects } from "../model/crashReport.js";
import { getSuspectKind, type SuspectId, type SuspectKind } from "../model/suspect.js";
import { createSuspectKey, type SuspectKey } from "../model/suspectKey.js";

/** What is known of crashes and answers. */
export interface Evidence {
    /** Crashes that no isolated part explains. */
    readonly reports: readonly CrashReport[];
    /**
     * Returns whether an isolated request explains a crash. It is held against no other request then, but still against
     * parts: each prompt with a part at fault may be repeated until it is isolated itself.
     */
    readonly isRequestExplained: (report: CrashReport) => boolean;
    readonly getAnswers: (service: ServiceId, suspect: SuspectId) => KnownAnswers | undefined;
    readonly getLastAnswer: (service: ServiceId) => number;
    readonly nowMs: number;
}

/** A suspect that may be at fault. */
export interface Suspicion {
    readonly service: ServiceId;
    readonly suspect: SuspectId;
    /** Crashes since the last answer on the suspect, the earliest first. */
    readonly crashes: readonly CrashReport[];
    /** Those of them in which a response to a prompt with the part had begun; none for a whole request. */
    readonly begunCrashes: readonly CrashReport[];
    /** Answers that have ever begun on the suspect. */
    readonly answerCount: number;
    /** Place among the shared parts of the prompt; later parts are shared by fewer prompts. */
    readonly position: number;
}

interface OpenSuspicion extends Suspicion {
    readonly crashes: CrashReport[];
    readonly begunCrashes: CrashReport[];
    position: number;
}

/** How suspects of a kind are judged. */
interface SuspectRules {
    /** Returns whether the suspect is at fault, given all suspicions. */
    readonly isProven: (
        suspicion: Suspicion,
        evidence: Evidence,
        all: readonly Suspicion[],
        minCrashes: number,
    ) => boolean;
    /** Returns whether the suspect is too likely to be at fault for a second attempt. */
    readonly isSuspected: (suspicion: Suspicion) => boolean;
}

/** Crashes within this time count once: a rack that fails ends all its endpoints at the same moment. */
const MOMENT_MS = 200;
/** Moments that crashes with begun responses have to come from. */
const MIN_BEGUN_MOMENTS = 2;
/** Moments needed beyond the number of crashes if no response had begun, since other prompts wait there as well. */
const EXTRA_WAITING_MOMENTS = 1;
/** Time for hosts to announce that they have received an answer: twice the interval of their messages. */
const SETTLE_MS = 1_000;
/** Attempts of a request, each sent after the crash of the one before, that have to end in a crash. */
const MIN_REQUEST_ROUNDS = 2;
/** Least time between two crashes that count as two rounds: hosts notice the same moment some milliseconds apart. */
const MIN_ROUND_MS = 20;
/** Time in which copies in progress are answered, and hosts announce answers: one interval of their messages and 0.1 s. */
const REQUEST_SETTLE_MS = 600;
/** Crashes needed beyond the usual number while another request was on each of the endpoints as well. */
const EXTRA_SHARED_CRASHES = 1;
/** Crashes from which on a suspect gets no second attempt, and a request runs once at a time on each host. */
export const SUSPECT_CRASHES = 2;

const suspectRules: Readonly<Record<SuspectKind, SuspectRules>> = {
    part: {
        isProven: (suspicion, evidence, _all, minCrashes) =>
            isPartProven(suspicion, evidence, minCrashes) && !isOneRequest(suspicion, evidence),
        isSuspected: ({ crashes, begunCrashes }) =>
            begunCrashes.length >= SUSPECT_CRASHES || listMoments(crashes).length >= SUSPECT_CRASHES,
    },
    request: {
        isProven: (suspicion, evidence, all, minCrashes) =>
            isRequestProven(suspicion, evidence, minCrashes)
            && (suspicion.crashes.length >= minCrashes + EXTRA_SHARED_CRASHES
                || !listCompanions(suspicion, all).some(isRequest)),
        isSuspected: ({ crashes }) => crashes.length >= SUSPECT_CRASHES,
    },
};

/** Lists the suspicions. What has been answered after a crash is not suspected of that crash. */
export function listSuspicions({ reports, isRequestExplained, getAnswers }: Evidence): readonly Suspicion[] {
    const suspicions = new Map<SuspectKey, OpenSuspicion>();
    for (const report of [...reports].sort((a, b) => a.crashedAtMs - b.crashedAtMs)) {
        const { service } = report;
        const isExplainedByRequest = isRequestExplained(report);
        listSuspects(report).forEach((suspect, position) => {
            const answers = getAnswers(service, suspect);
            const isAcquitted = report.crashedAtMs <= (answers?.lastAtMs ?? -Infinity);
            if (isAcquitted || isExplainedByRequest && getSuspectKind(suspect) === "request") {
                return;
            }
            const key = createSuspectKey(service, suspect);
            const suspicion = suspicions.get(key)
                ?? { service, suspect, crashes: [], begunCrashes: [], answerCount: answers?.count ?? 0, position };
            suspicions.set(key, suspicion);
            suspicion.position = Math.max(position, suspicion.position);
            suspicion.crashes.push(report);
            if (report.begunParts.includes(suspect)) {
                suspicion.begunCrashes.push(report);
            }
        });
    }
    return [...suspicions.values()];
}

/**
 * Finds the suspects at fault, given the number of crashes that proves it. The one with most evidence is taken first, and
 * the crashes that it explains are no longer held against others. Of equal evidence, what has most often been answered is
 * the least likely, and then the part that comes first in the prompt.
 */
export function findCulprits(evidence: Evidence, minCrashes: number): readonly Suspicion[] {
    const suspicions = listSuspicions(evidence);
    const proven = suspicions
        .filter(each => suspectRules[getSuspectKind(each.suspect)].isProven(each, evidence, suspicions, minCrashes))
        .sort(compareSuspicions);
    const [culprit] = proven;
    if (culprit === undefined) {
        return [];
    }
    // Of requests that nothing tells apart, each may be at fault; the trials release the others.
    const companions = isRequest(culprit) ? listCompanions(culprit, proven).filter(isRequest) : [];
    const isExplained = (report: CrashReport): boolean =>
        report.service === culprit.service && listSuspects(report).includes(culprit.suspect);
    const others: Evidence = isRequest(culprit)
        ? { ...evidence, isRequestExplained: report => evidence.isRequestExplained(report) || isExplained(report) }
        : { ...evidence, reports: evidence.reports.filter(report => !isExplained(report)) };
    return [culprit, ...companions, ...findCulprits(others, minCrashes)];
}

/** Lists the suspects that are not proven to be at fault, but too likely to be tried a second time. */
export const findSuspects = (evidence: Evidence): readonly Suspicion[] =>
    listSuspicions(evidence).filter(each => suspectRules[getSuspectKind(each.suspect)].isSuspected(each));

function isPartProven({ service, crashes, begunCrashes }: Suspicion, evidence: Evidence, minCrashes: number): boolean {
    if (begunCrashes.length >= minCrashes && listMoments(begunCrashes).length >= MIN_BEGUN_MOMENTS) {
        return true;
    }
    const moments = listMoments(crashes);
    const lastMoment = moments.at(-1) ?? Infinity;
    // Without an answer to any prompt since then, the service as a whole has failed.
    const wasOtherAnswered = evidence.getLastAnswer(service) > (moments.at(-2) ?? Infinity);
    return moments.length >= minCrashes + EXTRA_WAITING_MOMENTS
        && wasOtherAnswered
        && evidence.nowMs - lastMoment >= SETTLE_MS;
}

/**
 * A whole request is at fault if it ended one endpoint after the other, and either others were answered meanwhile or it
 * was on each endpoint that crashed: a service that fails as a whole ends under other requests, too.
 */
function isRequestProven({ service, suspect, crashes }: Suspicion, evidence: Evidence, minCrashes: number): boolean {
    if (crashes.length < minCrashes || countRounds(suspect, crashes) < MIN_REQUEST_ROUNDS) {
        return false;
    }
    const firstAtMs = crashes[0]?.crashedAtMs ?? Infinity;
    const lastAtMs = crashes.at(-1)?.crashedAtMs ?? Infinity;
    if (evidence.nowMs - lastAtMs < REQUEST_SETTLE_MS) {
        return false;
    }
    return evidence.getLastAnswer(service) > firstAtMs
        || evidence.reports
            .filter(report => report.service === service && report.crashedAtMs >= firstAtMs)
            .filter(report => !evidence.isRequestExplained(report))
            .every(report => crashes.includes(report));
}

/** Lists the other suspects that were on each of the endpoints whose crash is held against one. */
const listCompanions = ({ service, suspect, crashes }: Suspicion, all: readonly Suspicion[]): readonly Suspicion[] =>
    all.filter(other =>
        other.service === service && other.suspect !== suspect
        && crashes.every(report => other.crashes.includes(report))
    );

/**
 * Returns whether all crashes were under one request that has not been answered since: then its parts may be sound, which
 * other prompts share.
 */
const isOneRequest = ({ service, crashes }: Suspicion, { getAnswers }: Evidence): boolean =>
    crashes[0]?.requests.some(({ suspect }) =>
        (getAnswers(service, suspect)?.lastAtMs ?? -Infinity) < (crashes[0]?.crashedAtMs ?? Infinity)
        && crashes.every(({ requests }) => requests.some(each => each.suspect === suspect))
    ) === true;

const isRequest = ({ suspect }: Suspicion): boolean => getSuspectKind(suspect) === "request";

const compareSuspicions = (a: Suspicion, b: Suspicion): number =>
    b.begunCrashes.length - a.begunCrashes.length
    || b.crashes.length - a.crashes.length
    || a.answerCount - b.answerCount
    || b.position - a.position;

/** Lists the begins of the moments at which endpoints crashed. */
function listMoments(crashes: readonly CrashReport[]): readonly number[] {
    const moments: number[] = [];
    for (const { crashedAtMs } of crashes) {
        if (crashedAtMs - (moments.at(-1) ?? -Infinity) >= MOMENT_MS) {
            moments.push(crashedAtMs);
        }
    }
    return moments;
}

/** Counts the crashes of attempts that were sent after the crash before: endpoints that fail together count once. */
function countRounds(request: SuspectId, crashes: readonly CrashReport[]): number {
    let rounds = 0;
    let lastCrashMs = -Infinity;
    for (const { crashedAtMs, requests } of crashes) {
        const sentAtMs = requests.find(({ suspect }) => suspect === request)?.sentAtMs ?? -Infinity;
        if (sentAtMs >= lastCrashMs && crashedAtMs - lastCrashMs >= MIN_ROUND_MS) {
            rounds += 1;
            lastCrashMs = crashedAtMs;
        }
    }
    return rounds;
}
