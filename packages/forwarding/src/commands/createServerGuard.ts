import type { ServeHttpOptions } from "@currantrill/http";
import { createThrottledLog } from "@currantrill/logging";
import type { ForwardingContext } from "../model/forwardingContext.js";
import { computeConnectionLimits, type ConnectionLimits } from "../queries/computeConnectionLimits.js";

/** While descriptors are missing, a server reports an error on each turn of the event loop. */
const ERROR_INTERVAL_MS = 1_000;
const LIMIT_INTERVAL_MS = 5_000;

/** Creates the options of a server that limit its connections and what they hold, and log that and its errors. */
export function createServerGuard(
    { log, metrics, settings, resourceBudget }: Pick<
        ForwardingContext,
        "log" | "metrics" | "settings" | "resourceBudget"
    >,
    name: keyof ConnectionLimits,
): Required<Pick<ServeHttpOptions, "budget" | "maxConnections" | "onConnectionLimit" | "onServerError">> {
    const maxConnections = computeConnectionLimits(settings.limits.file_descriptors)[name];
    const logError = createThrottledLog({
        intervalMs: ERROR_INTERVAL_MS,
        write: (fields, count) => log.error({ ...fields, name, count }, "host: server error"),
    });
    const logLimit = createThrottledLog({
        intervalMs: LIMIT_INTERVAL_MS,
        write: (fields, count) => log.warn({ ...fields, name, maxConnections, count }, "host: too many connections"),
    });
    return {
        budget: resourceBudget,
        maxConnections,
        onConnectionLimit: event => {
            metrics.excessConnections.inc({ server: name, event });
            logLimit({ event });
        },
        onServerError: error => logError({ err: error }),
    };
}
