import type { ServiceId } from "@currantrill/protocol";
import { getSuspectKind, type SuspectId, type SuspectKind } from "./suspect.js";

/** A suspect that has been found to crash endpoints. */
export interface QuarantineEntry {
    readonly service: ServiceId;
    readonly suspect: SuspectId;
    /** Incremented with each change. Of two entries for a suspect, the one with the higher revision holds. */
    readonly revision: number;
    /** Whether requests with the suspect are refused. Once a trial has been answered, they are served again. */
    readonly isIsolated: boolean;
    /** Time of the isolation, or of the last trial since then, on the monotonic clock of this host. */
    readonly changedAtMs: number;
    /** Number of trials; each counts as failed until it is answered. */
    readonly trials: number;
}

/** Times of the quarantine, in milliseconds. */
export interface TrialTimes {
    readonly retryAfterMs: number;
}

/** Limit on the doublings of the time between two trials. */
const MAX_DOUBLINGS = 4;

/**
 * Time until the first trial of a request: endpoints that ended together are mostly back by then, and a sound request
 * that was on all of them is served again.
 */
const FIRST_REQUEST_TRIAL_MS = 3_000;

/** Returns the time from an isolation or a trial until the next trial, in milliseconds. */
const trialDelays: Readonly<Record<SuspectKind, (trials: number, times: TrialTimes) => number>> = {
    part: (trials, { retryAfterMs }) => retryAfterMs * 2 ** Math.min(MAX_DOUBLINGS, trials),
    // A request that has crashed an endpoint in each of two trials is not tried again before its entry is forgotten.
    request: (trials, { retryAfterMs }) =>
        [Math.min(FIRST_REQUEST_TRIAL_MS, retryAfterMs), retryAfterMs][trials] ?? Infinity,
};

/** Returns the time at which the next trial is due, `Infinity` if there is none before the entry is dropped. */
export const getTrialAtMs = ({ suspect, changedAtMs, trials }: QuarantineEntry, times: TrialTimes): number =>
    changedAtMs + trialDelays[getSuspectKind(suspect)](trials, times);

/** Returns whether an entry replaces another one. Two hosts may isolate a suspect at the same time. */
export const isNewer = (entry: QuarantineEntry, known: QuarantineEntry | undefined): boolean =>
    known === undefined || entry.revision > known.revision
    || entry.revision === known.revision && entry.isIsolated && !known.isIsolated;
