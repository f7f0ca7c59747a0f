import { createThrottledLog } from "@currantrill/logging";
import type Logger from "bunyan";

/** While descriptors are missing, a server reports an error on each turn of the event loop. */
const INTERVAL_MS = 1_000;

/** Creates the function that logs errors of a server after it has begun to listen. `name` is the setting of its address. */
export function createServerErrorLog(log: Logger, name: string): (error: Error) => void {
    const write = createThrottledLog({
        intervalMs: INTERVAL_MS,
        write: (fields, count) => log.error({ ...fields, name, count }, "host: server error"),
    });
    return error => write({ err: error });
}
