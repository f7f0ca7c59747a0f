import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Admission } from "../../quarantine/commands/startQuarantine.js";
import { getSuspectKind, type SuspectKind } from "../../quarantine/model/suspect.js";
import type { Exchange } from "../model/exchange.js";
import { hasPossiblyRun } from "../queries/hasPossiblyRun.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

const MS_PER_SECOND = 1_000;

const isolationReasons: Readonly<Record<SuspectKind, RefusalReason>> = {
    part: "part_isolated",
    request: "request_isolated",
};

/** Asks the quarantine before an attempt. A trial is remembered, so that it can be returned if it is not sent. */
export async function admitExchange({ quarantine }: ForwardingContext, exchange: Exchange): Promise<Admission> {
    const admission = await quarantine.admit(exchange.tracked);
    if (admission.kind === "trial") {
        exchange.trial = { entry: admission.trial, attemptsBefore: exchange.attempts.length };
    }
    return admission;
}

/** Returns the trial of a request that has ended without having been sent. One that an endpoint refuses counts. */
export function releaseUnusedTrial({ quarantine }: ForwardingContext, { trial, attempts }: Exchange): void {
    if (trial !== undefined && !attempts.slice(trial.attemptsBefore).some(({ wasSent }) => wasSent)) {
        quarantine.releaseTrial(trial.entry);
    }
}

/** Refuses a request with an isolated suspect. Only a request that was not sent is guaranteed not to have run. */
export function refuseIsolated(
    { callers }: ForwardingContext,
    exchange: Exchange,
    { suspect, retryAfterMs }: Extract<Admission, { kind: "isolated"; }>,
): RefusalReason {
    exchange.isolatedSuspect = suspect;
    const headers = callers.buildResponseHeaders(exchange.requestId);
    if (hasPossiblyRun(exchange)) {
        sendRefusal(exchange.response, "crash_suspected", headers);
        return "crash_suspected";
    }
    const reason = isolationReasons[getSuspectKind(suspect)];
    sendRefusal(exchange.response, reason, headers, retryAfterMs / MS_PER_SECOND);
    return reason;
}
