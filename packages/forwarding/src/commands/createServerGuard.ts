import type { CloseCause, ServeHttpOptions, UnansweredRequest } from "@currantrill/http";
import { createThrottledLog } from "@currantrill/logging";
import type { ForwardingContext } from "../model/forwardingContext.js";
import { computeConnectionLimits, type ConnectionLimits } from "../queries/computeConnectionLimits.js";

/** While descriptors are missing, a server reports an error on each turn of the event loop. */
const ERROR_INTERVAL_MS = 1_000;
const LIMIT_INTERVAL_MS = 5_000;
/** Causes that are only counted: a client that leaves, and those that crowds of callers bring about, which have other lines. */
const unloggedCauses: ReadonlySet<CloseCause> = new Set(["client", "budget", "connection_limit"]);

/**
 * Creates the options of a server that limit its connections and what they hold, and log that, its errors and requests
 * without an answer.
 */
export function createServerGuard(
    context: Pick<ForwardingContext, "log" | "metrics" | "settings" | "resourceBudget" | "callers" | "shutdown">,
    name: keyof ConnectionLimits,
): Required<
    Pick<ServeHttpOptions, "budget" | "maxConnections" | "onConnectionLimit" | "onServerError" | "onUnanswered">
> {
    const { log, metrics, settings, resourceBudget } = context;
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
        onUnanswered: unanswered => recordUnanswered(context, unanswered),
    };
}

/** Records a request that has got neither an answer nor a refusal, or only a part of it. */
function recordUnanswered(
    { log, metrics, callers, shutdown }: Pick<ForwardingContext, "log" | "metrics" | "callers" | "shutdown">,
    { request, phase, cause }: UnansweredRequest,
): void {
    metrics.unansweredRequests.inc({ phase, cause });
    if (unloggedCauses.has(cause)) {
        return;
    }
    const { requestId = "" } = callers.parseHeaders(request.headers);
    const afterStopMs = shutdown === undefined ? undefined : Math.round(performance.now() - shutdown.startedAtMs);
    log.warn({ request: requestId, phase, cause, afterStopMs }, "requests: connection closed without a whole answer");
}
