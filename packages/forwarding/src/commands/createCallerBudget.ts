/** The budget for everything that callers make a forwarding host hold. */
import { createResourceBudget, type ResourceBudget, type ResourceKind } from "@currantrill/http";
import { createThrottledLog } from "@currantrill/logging";
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import type { ForwardingMetrics } from "../model/forwardingMetrics.js";
import { computeCallerBytes } from "../queries/computeCallerBytes.js";

const LOG_INTERVAL_MS = 5_000;

export const resourceKinds: readonly ResourceKind[] = ["connection", "head", "request", "body", "response"];

/** Creates the budget, which all servers of a host share. Each decision is counted, and logged once per kind and interval. */
export function createCallerBudget(
    getSettings: () => ForwardingSettings,
    log: Logger,
    metrics: Pick<ForwardingMetrics, "callerBudgetEvents">,
): ResourceBudget {
    const getLimit = (): number => computeCallerBytes(getSettings().limits.memory_mb);
    const kindLimits: Partial<Record<ResourceKind, () => number>> = {
        body: () => getSettings().requests.max_buffered_bytes,
        response: () => getSettings().responses.max_buffered_bytes,
    };
    const budget = createResourceBudget({
        getLimit,
        getKindLimit: kind => kindLimits[kind]?.() ?? Infinity,
        onEvent: (event, cause) => {
            metrics.callerBudgetEvents.inc({ event, cause });
            logs[cause]({ event });
        },
    });
    const getHeld = (): Readonly<Record<string, number>> =>
        Object.fromEntries(resourceKinds.map(kind => [kind, budget.getUsed(kind)]));
    const createLog = (cause: ResourceKind): ReturnType<typeof createThrottledLog> =>
        createThrottledLog({
            intervalMs: LOG_INTERVAL_MS,
            write: (fields, count) =>
                log.warn({ ...fields, cause, count, limit: getLimit(), held: getHeld() }, "callers: too much memory"),
        });
    const logs: Readonly<Record<ResourceKind, ReturnType<typeof createThrottledLog>>> = {
        connection: createLog("connection"),
        head: createLog("head"),
        request: createLog("request"),
        body: createLog("body"),
        response: createLog("response"),
    };
    return budget;
}
