import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Admission } from "../../quarantine/commands/startQuarantine.js";
import { getSuspectKind, type SuspectId, type SuspectKind } from "../../quarantine/model/suspect.js";
import type { Exchange } from "../model/exchange.js";
import { hasPossiblyRun } from "../queries/hasPossiblyRun.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

const MS_PER_SECOND = 1_000;

const isolationReasons: Readonly<Record<SuspectKind, RefusalReason>> = {
    part: "part_isolated",
    request: "request_isolated",
};

/**
 * Asks the quarantine before an attempt. A trial is remembered: the request has it until it is sent, and returns it if that
 * does not happen.
 */
export async function admitExchange({ quarantine }: ForwardingContext, exchange: Exchange): Promise<Admission> {
    if (exchange.trial !== undefined && !wasTrialSent(exchange)) {
        return { kind: "trial", trial: exchange.trial.entry };
    }
    const admission = await quarantine.admit(exchange.tracked);
    if (admission.kind === "trial") {
        exchange.trial = { entry: admission.trial, attemptsBefore: exchange.attempts.length };
    }
    // The caller may have its final answer, or may have gone, while the request waited.
    if (exchange.hasEnded || exchange.response.writableEnded || exchange.response.closed) {
        endAdmission({ quarantine }, exchange);
    }
    return admission;
}

const wasTrialSent = ({ trial, attempts }: Exchange): boolean =>
    attempts.slice(trial?.attemptsBefore).some(({ wasSent }) => wasSent);

/** Ends the turn of a request that has ended, and returns its trial if it was not sent. One that is refused counts. */
export function endAdmission({ quarantine }: Pick<ForwardingContext, "quarantine">, exchange: Exchange): void {
    if (exchange.trial !== undefined && !wasTrialSent(exchange)) {
        quarantine.releaseTrial(exchange.trial.entry);
    }
    quarantine.endTurn(exchange.tracked);
}

export interface IsolationNotice {
    readonly suspect: SuspectId;
    /** Time until the request may be tried again; by default that of the refusal. */
    readonly retryAfterMs: number | undefined;
}

/** Refuses a request with an isolated suspect. Only a request that was not sent is guaranteed not to have run. */
export function refuseIsolated(
    { callers }: ForwardingContext,
    exchange: Exchange,
    { suspect, retryAfterMs }: IsolationNotice,
): RefusalReason {
    exchange.isolatedSuspect = suspect;
    const headers = callers.buildResponseHeaders(exchange.requestId);
    if (hasPossiblyRun(exchange)) {
        sendRefusal(exchange.response, "crash_suspected", headers);
        return "crash_suspected";
    }
    const reason = isolationReasons[getSuspectKind(suspect)];
    const retryAfterSeconds = retryAfterMs === undefined ? undefined : retryAfterMs / MS_PER_SECOND;
    sendRefusal(exchange.response, reason, headers, retryAfterSeconds);
    return reason;
}
