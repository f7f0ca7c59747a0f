import type { AttemptFailure } from "../../endpoints/commands/sendAttempt.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import { ANSWER_EVENTS } from "./checkCrash.js";

/**
 * Time after which the endpoint of an attempt that its caller or its time limit has ended is checked for a crash. Under
 * load, a sound endpoint has responded to another request by then and is not probed.
 */
const CHECK_DELAY_MS = 100;
/** Timers of the runtime may fire so much before the time limit. */
const TIMER_TOLERANCE_MS = 5;

interface FailedAttempt {
    readonly endpoint: Endpoint;
    readonly record: AttemptRecord;
    readonly failure: AttemptFailure;
}

/**
 * Checks later whether an endpoint has crashed under an attempt that was aborted without an answer: nobody sees how its
 * connection ends.
 */
export function checkAbandoned(
    { quarantine }: Pick<ForwardingContext, "quarantine">,
    { tracked, startedAtMs, deadlineAtMs, hasEnded, attempts }: Exchange,
    { endpoint, record, failure }: FailedAttempt,
): void {
    const abandonedAtMs = performance.now();
    const isAbandoned = hasEnded || abandonedAtMs >= deadlineAtMs - TIMER_TOLERANCE_MS;
    const isAnswered = attempts.some(({ outcome, events = 0 }) => outcome === "answered" || events >= ANSWER_EVENTS);
    if (failure !== "aborted" || record.outcome !== "unknown" || !isAbandoned || isAnswered) {
        return;
    }
    setTimeout(() => {
        if (endpoint.health.lastResponseAtMs > abandonedAtMs) {
            return;
        }
        void quarantine.reportBreak(endpoint, {
            request: tracked,
            sentAtMs: startedAtMs + record.sentAfterMs,
            hasBegun: record.respondedAfterMs !== undefined && record.events === undefined,
            hasAnswer: false,
        });
    }, CHECK_DELAY_MS);
}
