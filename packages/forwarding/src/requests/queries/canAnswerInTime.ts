import type { RequestKind } from "../../configuration/model/servingConfiguration.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Shutdown } from "../../model/shutdown.js";
import type { Exchange } from "../model/exchange.js";

export interface AnswerTimes {
    /** When the request had arrived in full. Its body may have taken seconds longer than its head. */
    readonly arrivedAtMs: number;
    /** Deadline of the request. At the latest then it has a final answer. */
    readonly deadlineAtMs: number;
    /** Time that the request is expected to take. */
    readonly expectedMs: number;
}

/**
 * Returns whether a request that is sent to an endpoint now has its answer before the host stops. Those that arrive
 * while the load balancer may still send requests are served if they are expected to be answered in time. Later ones
 * come on connections that callers kept, and only a time limit that ends before the stop is certain enough for them: a
 * refused request goes to another host, and one that is cut off may not be repeated.
 */
export const canAnswerInTime = (
    { arrivedAtMs, deadlineAtMs, expectedMs }: AnswerTimes,
    { noticedAtMs, stopsAtMs }: Shutdown,
    nowMs: number,
): boolean => deadlineAtMs <= stopsAtMs || arrivedAtMs < noticedAtMs && nowMs + expectedMs <= stopsAtMs;

/**
 * Assumed duration of a request while no answer on its route is known, as a fraction of the route's target latency.
 * Most calls take half of it. The target of a stream is for its first event, after which it goes on.
 */
const ASSUMED_TARGET_FRACTION: Readonly<Record<RequestKind, number>> = { once: 0.5, repeatable: 0.5, stream: 1 };

/** Estimates the time from sending a request to the end of its answer, in milliseconds. */
export const estimateAnswerMs = (
    { routeDurations }: Pick<ForwardingContext, "routeDurations">,
    { route, callerMetadata }: Pick<Exchange, "route" | "callerMetadata">,
): number =>
    routeDurations.estimateMs(route.name, callerMetadata.answerTokens)
        ?? route.targetMs * ASSUMED_TARGET_FRACTION[route.kind];

/** Returns whether the host can answer a request, if it is sent to an endpoint now. */
export function canBeAnswered(
    context: Pick<ForwardingContext, "shutdown" | "routeDurations">,
    exchange: Pick<Exchange, "route" | "startedAtMs" | "deadlineAtMs" | "callerMetadata">,
): boolean {
    if (context.shutdown === undefined) {
        return true;
    }
    const { startedAtMs: arrivedAtMs, deadlineAtMs } = exchange;
    const times = { arrivedAtMs, deadlineAtMs, expectedMs: estimateAnswerMs(context, exchange) };
    return canAnswerInTime(times, context.shutdown, performance.now());
}
