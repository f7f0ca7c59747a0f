/** Tracks consecutive failed calls to the store for one table. */
import type Logger from "bunyan";
import { formatPosition } from "../../ports/storePosition.js";

/** Delay before a retry after a failed call to the store; it doubles with each failure up to the maximum. */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 800;

export interface OutageTracker {
    /** Returns the number of consecutive failed calls; 0 if the last call succeeded. */
    readonly countFailures: () => number;
    /** Returns the delay before the next call, with random jitter. */
    readonly getRetryDelayMs: () => number;
    /** Records a failed call. `version` is the replica's version, for the log. */
    readonly recordFailure: (error: unknown, version: number) => void;
    /** Records a successful call. Returns whether it has ended an outage. */
    readonly end: (version: number) => boolean;
}

/** Creates a tracker, which logs when the store becomes unavailable and when it is available again. */
export function createOutageTracker(table: string, log: Logger): OutageTracker {
    let failures = 0;
    return {
        countFailures: () => failures,
        getRetryDelayMs: () =>
            Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** failures) * (0.5 + Math.random() / 2),
        recordFailure: (error, version) => {
            failures += 1;
            if (failures === 1) {
                log.warn({ err: error, table, version: formatPosition(version) }, "replica: store is unavailable");
            }
        },
        end: version => {
            if (failures === 0) {
                return false;
            }
            log.info({ table, version: formatPosition(version), failures }, "replica: store is available again");
            failures = 0;
            return true;
        },
    };
}
