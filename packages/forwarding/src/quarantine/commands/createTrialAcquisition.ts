/** Acquires the trials of isolated suspects. */
import type Logger from "bunyan";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import type { QuarantineState } from "../model/quarantineState.js";
import { createSuspectKey, type SuspectKey } from "../model/suspectKey.js";
import { describeSuspect } from "../queries/describeSuspect.js";
import type { QuarantineStore } from "./createQuarantineStore.js";

/** Time until a host asks for another trial, if another host has got it or the store did not answer. */
export const TRIAL_RETRY_MS = 5_000;

export interface TrialAcquisitionOptions {
    readonly log: Logger;
    readonly state: QuarantineState;
    readonly store: QuarantineStore;
}

export interface TrialAcquisition {
    /** Acquires a trial. Resolves with the entry that counts it, or `undefined` if there is none now. */
    readonly acquire: (entry: QuarantineEntry) => Promise<QuarantineEntry | undefined>;
    /** Returns a trial that was not sent to an endpoint, so that it does not count. */
    readonly release: (trial: QuarantineEntry) => void;
}

/**
 * Creates the acquisition of trials, of which one host of the fleet gets one at a time: a conditional write decides.
 * Without the store there are no trials.
 */
export function createTrialAcquisition({ log, state, store }: TrialAcquisitionOptions): TrialAcquisition {
    const nextAtMs = new Map<SuspectKey, number>();
    const entriesBefore = new WeakMap<QuarantineEntry, QuarantineEntry>();
    return {
        acquire: async entry => {
            const { service, suspect } = entry;
            const nowMs = performance.now();
            const key = createSuspectKey(service, suspect);
            if ((nextAtMs.get(key) ?? 0) > nowMs) {
                return undefined;
            }
            [...nextAtMs].filter(([, atMs]) => atMs <= nowMs).forEach(([expired]) => nextAtMs.delete(expired));
            nextAtMs.set(key, nowMs + TRIAL_RETRY_MS);
            const trial = { ...entry, revision: entry.revision + 1, changedAtMs: nowMs, trials: entry.trials + 1 };
            try {
                if (!await store.replace(entry, trial) || state.findIsolated(service, [suspect]) !== entry) {
                    return undefined;
                }
            }
            catch (error) {
                log.warn({ err: error, ...describeSuspect(suspect) }, "quarantine: could not acquire a trial");
                return undefined;
            }
            log.info({ service, ...describeSuspect(suspect), trials: trial.trials }, "quarantine: trial");
            state.change(entry, { changedAtMs: nowMs, trials: trial.trials });
            entriesBefore.set(trial, entry);
            return trial;
        },
        release: trial => {
            const { service, suspect } = trial;
            const current = state.findIsolated(service, [suspect]);
            const before = entriesBefore.get(trial);
            if (current !== undefined && before !== undefined && current.revision === trial.revision) {
                log.info({ service, ...describeSuspect(suspect) }, "quarantine: trial was not sent");
                state.change(current, { changedAtMs: before.changedAtMs, trials: before.trials });
            }
        },
    };
}
