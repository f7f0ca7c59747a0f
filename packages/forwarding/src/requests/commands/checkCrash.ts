import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { SUSPECT_CRASHES } from "../../quarantine/queries/findCulprits.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";

/** Events from which on an endpoint has written an answer. One that crashes as it begins to write may still send the first. */
export const ANSWER_EVENTS = 2;

/** An attempt that broke off before its endpoint had written a whole answer. */
export interface BrokenAttemptReport {
    readonly endpoint: Endpoint;
    readonly record: AttemptRecord;
    /** Whether the connection was closed, so that the endpoint may have crashed. */
    readonly mayBeCrash: boolean;
}

/**
 * Reports the break, and resolves with whether the request may be the reason for it, so that no other endpoint must be
 * tried: if the response to a prompt with shared parts had just begun, or if the request or a part of it was on other
 * endpoints that crashed.
 */
export async function checkCrash(
    { quarantine }: ForwardingContext,
    { tracked, startedAtMs, attempts }: Exchange,
    { endpoint, record, mayBeCrash }: BrokenAttemptReport,
): Promise<boolean> {
    const hasBegun = record.respondedAfterMs !== undefined && record.events === undefined;
    const hasAnswer = attempts.some(({ events = 0 }) => events >= ANSWER_EVENTS);
    const wasOnCrashed = quarantine.countCrashes(tracked) > 0;
    const sentAtMs = startedAtMs + record.sentAfterMs;
    const reported = mayBeCrash
        ? quarantine.reportBreak(endpoint, { request: tracked, sentAtMs, hasBegun, hasAnswer })
        : undefined;
    // Most requests are served by the next endpoint, and do not wait until this one has been probed.
    const mustWait = hasBegun && !hasAnswer && tracked.parts.length > 0;
    const hasCrashed = mustWait || wasOnCrashed ? await reported === true : false;
    return hasAnswer
        ? quarantine.countCrashes(tracked) >= SUSPECT_CRASHES
        : mustWait && hasCrashed || quarantine.isSuspect(tracked);
}
