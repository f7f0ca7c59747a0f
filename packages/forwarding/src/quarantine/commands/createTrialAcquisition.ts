/** Acquires the trials of isolated parts. */
import type Logger from "bunyan";
import { createPartKey, type PartKey } from "../model/partKey.js";
import type { PartQuarantine } from "../model/partQuarantine.js";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import type { QuarantineStore } from "./createQuarantineStore.js";

/** Time until a host asks for another trial, if another host has got it or the store did not answer. */
export const TRIAL_RETRY_MS = 5_000;

export interface TrialAcquisitionOptions {
    readonly log: Logger;
    readonly state: PartQuarantine;
    readonly store: QuarantineStore;
}

/**
 * Creates the function that acquires a trial, which one host of the fleet gets at a time: a conditional write decides.
 * Without the store there are no trials.
 */
export function createTrialAcquisition(
    { log, state, store }: TrialAcquisitionOptions,
): (entry: QuarantineEntry) => Promise<QuarantineEntry | undefined> {
    const nextAtMs = new Map<PartKey, number>();
    return async entry => {
        const nowMs = performance.now();
        const key = createPartKey(entry.service, entry.part);
        if ((nextAtMs.get(key) ?? 0) > nowMs) {
            return undefined;
        }
        [...nextAtMs].filter(([, atMs]) => atMs <= nowMs).forEach(([expired]) => nextAtMs.delete(expired));
        nextAtMs.set(key, nowMs + TRIAL_RETRY_MS);
        const trial = { ...entry, revision: entry.revision + 1, changedAtMs: nowMs, trials: entry.trials + 1 };
        try {
            if (!await store.replace(entry, trial) || state.findIsolated(entry.service, [entry.part]) !== entry) {
                return undefined;
            }
        }
        catch (error) {
            log.warn({ err: error, part: entry.part }, "quarantine: could not acquire a trial");
            return undefined;
        }
        log.info({ service: entry.service, part: entry.part, trials: trial.trials }, "quarantine: trial");
        state.change(entry, { changedAtMs: nowMs, trials: trial.trials });
        return trial;
    };
}
