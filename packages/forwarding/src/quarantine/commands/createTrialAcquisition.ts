/** Acquires the trials of isolated suspects. */
import type Logger from "bunyan";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import type { QuarantineState } from "../model/quarantineState.js";
import { createSuspectKey, type SuspectKey } from "../model/suspectKey.js";
import type { QuarantineStore } from "./createQuarantineStore.js";

/** Time until a host asks for another trial, if another host has got it or the store did not answer. */
export const TRIAL_RETRY_MS = 5_000;

export interface TrialAcquisitionOptions {
    readonly log: Logger;
    readonly state: QuarantineState;
    readonly store: QuarantineStore;
}

/**
 * Creates the function that acquires a trial, which one host of the fleet gets at a time: a conditional write decides.
 * Without the store there are no trials.
 */
export function createTrialAcquisition(
    { log, state, store }: TrialAcquisitionOptions,
): (entry: QuarantineEntry) => Promise<QuarantineEntry | undefined> {
    const nextAtMs = new Map<SuspectKey, number>();
    return async entry => {
        const nowMs = performance.now();
        const key = createSuspectKey(entry.service, entry.suspect);
        if ((nextAtMs.get(key) ?? 0) > nowMs) {
            return undefined;
        }
        [...nextAtMs].filter(([, atMs]) => atMs <= nowMs).forEach(([expired]) => nextAtMs.delete(expired));
        nextAtMs.set(key, nowMs + TRIAL_RETRY_MS);
        const trial = { ...entry, revision: entry.revision + 1, changedAtMs: nowMs, trials: entry.trials + 1 };
        try {
            if (!await store.replace(entry, trial) || state.findIsolated(entry.service, [entry.suspect]) !== entry) {
                return undefined;
            }
        }
        catch (error) {
            log.warn({ err: error, part: entry.suspect }, "quarantine: could not acquire a trial");
            return undefined;
        }
        log.info({ service: entry.service, part: entry.suspect, trials: trial.trials }, "quarantine: trial");
        state.change(entry, { changedAtMs: nowMs, trials: trial.trials });
        return trial;
    };
}
