/** One send of an exchange to an endpoint. */
import {
    type AnswerHeaders,
    type RunningAttempt,
    sendAttempt,
    type SendFailure,
} from "../../endpoints/commands/sendAttempt.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import {
    type EndpointHealth,
    recordAnswer,
    recordFailure,
    recordSilence,
} from "../../endpoints/model/endpointHealth.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { AnswerFacts, PromptPart } from "../../ports/endpointProtocol.js";
import type { AttemptOutcome, AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";

export interface AttemptPlan {
    readonly endpoint: Endpoint;
    readonly record: AttemptRecord;
    readonly parts?: readonly PromptPart[];
    readonly lastEventId?: number;
    readonly isFresh: boolean;
    /** Called once the headers of an answer to this request have arrived. */
    readonly onAnswer: (status: number, headers: AnswerHeaders, facts: AnswerFacts) => void;
    readonly onData: (chunk: Buffer) => void;
    /** The answer has ended as its framing says, and belongs to the request. */
    readonly onEnd: () => void;
    /** Called in place of `onEnd`. */
    readonly onFailure: (outcome: AttemptOutcome, reason: string) => void;
}

/** What a failure says about the endpoint. */
const updateHealth: Readonly<Record<SendFailure, (health: EndpointHealth, nowMs: number) => EndpointHealth>> = {
    not_connected: recordSilence,
    broken: recordFailure,
    aborted: health => health,
};

/** Starts a send. Exactly one of `onEnd` and `onFailure` is called. */
export function runAttempt(context: ForwardingContext, exchange: Exchange, plan: AttemptPlan): RunningAttempt {
    const { endpoint, record } = plan;
    const nowMs = performance.now();
    let refusal: AttemptOutcome | undefined;
    let refusalReason = "";
    let isOver = false;
    const end = (outcome: AttemptOutcome, reason?: string): void => {
        isOver = true;
        record.outcome = outcome;
        record.endedAfterMs = Math.round(performance.now() - exchange.startedAtMs);
        context.metrics.attempts.inc({ outcome });
        if (reason !== undefined) {
            record.reason = reason;
        }
    };
    const handleAnswer = (status: number, headers: AnswerHeaders): boolean => {
        const facts = context.protocol.parseAnswer(status, headers);
        const mismatch = findMismatch(exchange, status, facts);
        if (mismatch !== undefined) {
            refusalReason = mismatch;
            return false;
        }
        endpoint.health = recordAnswer(endpoint.health, performance.now());
        if (facts.isNotExecuted || facts.isMisdirected) {
            recordRefusal(context, endpoint, facts);
            refusal = "not_run";
            refusalReason = facts.isMisdirected ? "another endpoint has the address" : `not executed, status ${status}`;
            return true;
        }
        plan.onAnswer(status, headers, facts);
        return true;
    };
    const handleFailure = (failure: SendFailure, error: Error): void => {
        if (isOver) {
            return;
        }
        const outcome: AttemptOutcome = record.wasSent ? "unknown" : "not_run";
        const reason = refusalReason === "" ? error.message : refusalReason;
        endpoint.health = updateHealth[failure](endpoint.health, performance.now());
        end(outcome, reason);
        plan.onFailure(outcome, reason);
    };
    try {
        return sendAttempt(endpoint.pool, {
            method: exchange.method,
            target: exchange.target,
            headers: buildHeaders(context, exchange, plan, nowMs),
            body: exchange.body,
            isFresh: plan.isFresh,
        }, {
            onSent: () => {
                record.wasSent = true;
            },
            onAnswer: handleAnswer,
            onData: chunk => refusal === undefined && plan.onData(chunk),
            onEnd: () => {
                if (refusal !== undefined) {
                    end(refusal, refusalReason);
                    plan.onFailure(refusal, refusalReason);
                    return;
                }
                end("answered");
                plan.onEnd();
            },
            onFailure: handleFailure,
        });
    }
    catch (error) {
        // The client rejects a request whose headers it cannot write before anything is sent.
        queueMicrotask(() => handleFailure("aborted", error as Error));
        return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
    }
}

/** A refusal may be the fault of an endpoint that was to read a part. */
function recordRefusal(context: ForwardingContext, endpoint: Endpoint, facts: AnswerFacts): void {
    const other = facts.faultAddress === undefined ? undefined : context.directory.findByAddress(facts.faultAddress);
    const atFault = other ?? endpoint;
    if (facts.isMisdirected) {
        context.directory.markMisdirected(atFault);
        return;
    }
    if (other !== undefined) {
        other.health = recordFailure(other.health, performance.now());
    }
}

function buildHeaders(context: ForwardingContext, exchange: Exchange, plan: AttemptPlan, nowMs: number): string[] {
    const own = context.protocol.buildHeaders({
        deadlineMs: Math.max(1, Math.floor(exchange.endsAtMs - nowMs)),
        endpointId: plan.endpoint.entry.id,
        ...(exchange.workspace === undefined ? {} : { workspace: exchange.workspace }),
        priority: exchange.priority,
        ...(plan.lastEventId === undefined ? {} : { lastEventId: plan.lastEventId }),
        parts: plan.parts ?? [],
    });
    return [...exchange.headers, ...Object.entries(own).flat()];
}

/** Says why an answer cannot be that of the request, or cannot be passed on as whole. */
function findMismatch(exchange: Exchange, status: number, facts: AnswerFacts): string | undefined {
    if (facts.requestId !== undefined && facts.requestId !== exchange.requestId) {
        return "answer to another request";
    }
    if (facts.isEncoded) {
        return "encoded body";
    }
    if (status < 300 && (!facts.isSigned || facts.requestId === undefined)) {
        return "success without signature or request id";
    }
    return undefined;
}
