import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Exchange } from "../model/exchange.js";
import { canBeAnswered, estimateAnswerMs } from "./canAnswerInTime.js";
import { countLeft } from "./countLeft.js";
import { isAvailable } from "./isAvailable.js";
import { listLoads } from "./listLoads.js";

export interface SilentAttempt {
    /** Whether the caller has got the head of the response. */
    readonly hasSentHeaders: boolean;
    /** Last event, or the start of the attempt. */
    readonly lastProgressAtMs: number;
    /** Time to the first event that was expected of the attempt; another one has to read the prompt again. */
    readonly firstEventMs: number;
}

/**
 * Returns whether a stream whose endpoint is silent can go on at another one: one that responds takes
 * the prompt now, and on a stopping host the rest of the answer is expected there before the stop. Otherwise only the silent
 * endpoint may still finish it.
 */
export function canContinueElsewhere(
    context: ForwardingContext,
    exchange: Exchange,
    attempt: SilentAttempt,
): boolean {
    const tried = new Set(exchange.attempts.map(({ endpoint }) => endpoint));
    const nowMs = performance.now();
    const permitsLeft = countLeft(exchange);
    return listLoads(context, exchange.service.name, nowMs).some(load =>
        !tried.has(load.id) && !load.isUnresponsive && isAvailable(context, load, permitsLeft)
    )
        && hasTimeFor(context, exchange, attempt, nowMs);
}

function hasTimeFor(
    context: ForwardingContext,
    exchange: Exchange,
    { hasSentHeaders, lastProgressAtMs, firstEventMs }: SilentAttempt,
    nowMs: number,
): boolean {
    if (context.shutdown === undefined) {
        return true;
    }
    if (!hasSentHeaders) {
        return canBeAnswered(context, exchange);
    }
    const answeredMs = lastProgressAtMs - exchange.startedAtMs;
    const remainingMs = firstEventMs + Math.max(0, estimateAnswerMs(context, exchange) - answeredMs);
    return nowMs + remainingMs <= context.shutdown.stopsAtMs;
}
