/** Failures of the store in a row, as one table's calls see them. */
import type Logger from "bunyan";

/** Wait after a failed call to the store; grows up to the second value. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 800;

export interface Outage {
    readonly countFailures: () => number;
    readonly getRetryWait: () => number;
    readonly recordFailure: (error: unknown, version: number) => void;
    /** Ends the outage, and returns whether there was one. */
    readonly end: (version: number) => boolean;
}

/** Counts failures of the store in a row, and logs when it is lost and regained. */
export function createOutage(table: string, log: Logger): Outage {
    let failures = 0;
    return {
        countFailures: () => failures,
        getRetryWait: () => Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures) * (0.5 + Math.random() / 2),
        recordFailure: (error, version) => {
            failures += 1;
            if (failures === 1) {
                log.warn({ err: error, table, version }, "replica: store lost");
            }
        },
        end: version => {
            if (failures === 0) {
                return false;
            }
            log.info({ table, version, failures }, "replica: store regained");
            failures = 0;
            return true;
        },
    };
}
