/** Finds the parts of prompts that crash endpoints, from the crashes that no known culprit explains. */
import type { ServiceId } from "@currantrill/protocol";
import type { KnownAnswers } from "../model/answerLog.js";
import { type CrashReport, listSuspects } from "../model/crashReport.js";
import type { SuspectId } from "../model/suspect.js";
import { createSuspectKey, type SuspectKey } from "../model/suspectKey.js";

/** What is known of crashes and answers. */
export interface Evidence {
    /** Crashes that no isolated part explains. */
    readonly reports: readonly CrashReport[];
    readonly getAnswers: (service: ServiceId, suspect: SuspectId) => KnownAnswers | undefined;
    readonly getLastAnswer: (service: ServiceId) => number;
    readonly nowMs: number;
}

/** A part that may be at fault. */
export interface Suspicion {
    readonly service: ServiceId;
    readonly suspect: SuspectId;
    /** Crashes since the last answer on a prompt with the part, the earliest first. */
    readonly crashes: readonly CrashReport[];
    /** Those of them in which a response to a prompt with the part had begun. */
    readonly begunCrashes: readonly CrashReport[];
    /** Answers that have ever begun on prompts with the part. */
    readonly answerCount: number;
    /** Place among the shared parts of the prompt; later parts are shared by fewer prompts. */
    readonly position: number;
}

interface OpenSuspicion extends Suspicion {
    readonly crashes: CrashReport[];
    readonly begunCrashes: CrashReport[];
    position: number;
}

/** Crashes within this time count once: a rack that fails ends all its endpoints at the same moment. */
const MOMENT_MS = 200;
/** Moments that crashes with begun responses have to come from. */
const MIN_BEGUN_MOMENTS = 2;
/** Moments needed beyond the number of crashes if no response had begun, since other prompts wait there as well. */
const EXTRA_WAITING_MOMENTS = 1;
/** Time for hosts to announce that they have received an answer: twice the interval of their messages. */
const SETTLE_MS = 1_000;

/** Lists the suspicions by part. A part is no suspect as soon as a prompt with it has been answered after a crash. */
function listSuspicions({ reports, getAnswers }: Evidence): readonly Suspicion[] {
    const suspicions = new Map<SuspectKey, OpenSuspicion>();
    for (const report of [...reports].sort((a, b) => a.crashedAtMs - b.crashedAtMs)) {
        const { service } = report;
        listSuspects(report).forEach((suspect, position) => {
            const answers = getAnswers(service, suspect);
            if (report.crashedAtMs <= (answers?.lastAtMs ?? -Infinity)) {
                return;
            }
            const key = createSuspectKey(service, suspect);
            const suspicion = suspicions.get(key)
                ?? { service, suspect, crashes: [], begunCrashes: [], answerCount: answers?.count ?? 0, position };
            suspicions.set(key, suspicion);
            suspicion.position = Math.max(position, suspicion.position);
            suspicion.crashes.push(report);
            if (report.begunParts.length > 0) {
                suspicion.begunCrashes.push(report);
            }
        });
    }
    return [...suspicions.values()];
}

/**
 * Finds the parts at fault, given the number of crashes that proves it. The part with most evidence is taken first, and
 * the crashes that it explains are no longer held against others. Of equal evidence, the part that has most often been
 * answered is the least likely, and then the one that comes first in the prompt.
 */
export function findCulprits(evidence: Evidence, minCrashes: number): readonly Suspicion[] {
    const [culprit] = listSuspicions(evidence)
        .filter(suspicion => isProven(suspicion, evidence, minCrashes))
        .sort(compareSuspicions);
    if (culprit === undefined) {
        return [];
    }
    const unexplained = evidence.reports.filter(report =>
        report.service !== culprit.service || !listSuspects(report).includes(culprit.suspect)
    );
    return [culprit, ...findCulprits({ ...evidence, reports: unexplained }, minCrashes)];
}

/** Crashes from which on a part is suspected. */
const SUSPECT_CRASHES = 2;

/** Lists the parts that are not proven to be at fault, but too likely to try prompts with them a second time. */
export const findSuspects = (evidence: Evidence): readonly Suspicion[] =>
    listSuspicions(evidence).filter(({ crashes, begunCrashes }) =>
        begunCrashes.length >= SUSPECT_CRASHES || listMoments(crashes).length >= SUSPECT_CRASHES
    );

function isProven(suspicion: Suspicion, evidence: Evidence, minCrashes: number): boolean {
    const { crashes, begunCrashes } = suspicion;
    if (begunCrashes.length >= minCrashes && listMoments(begunCrashes).length >= MIN_BEGUN_MOMENTS) {
        return true;
    }
    const moments = listMoments(crashes);
    const lastMoment = moments.at(-1) ?? Infinity;
    // Without an answer to any prompt since then, the service as a whole has failed.
    const wasOtherAnswered = evidence.getLastAnswer(suspicion.service) > (moments.at(-2) ?? Infinity);
    return moments.length >= minCrashes + EXTRA_WAITING_MOMENTS
        && wasOtherAnswered
        && evidence.nowMs - lastMoment >= SETTLE_MS;
}

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
