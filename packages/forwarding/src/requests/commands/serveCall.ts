/** Serves requests whose answer is one body. */
import type { AnswerHeaders, RunningAttempt } from "../../endpoints/commands/sendAttempt.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { recordFailure } from "../../endpoints/model/endpointHealth.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { chooseServer } from "../../placement/queries/chooseServer.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import { listLoads } from "../queries/listLoads.js";
import { selectAnswerHeaders } from "../queries/selectHeaders.js";
import { runAttempt } from "./runAttempt.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

/** Part of a route's target after which a request that may be repeated is also sent to a second endpoint. */
const SECOND_SEND_SHARE = 0.6;
/** Endpoints that are tried while none has accepted a connection. */
const MAX_CONNECT_TRIES = 3;
const FIRST_SERVER_ERROR = 500;

interface CallAnswer {
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
}

interface CallState {
    readonly running: Map<RunningAttempt, Endpoint>;
    readonly tried: Set<Endpoint>;
    /** An endpoint's own failure, sent to the caller if no other endpoint does better. */
    fallback: CallAnswer | undefined;
    sends: number;
    connectTries: number;
    mayHaveRun: boolean;
    isDone: boolean;
    finish: (outcome: string) => void;
}

/** Serves a call. Resolves with the outcome when the caller has its answer. */
export function serveCall(context: ForwardingContext, exchange: Exchange): Promise<string> {
    return new Promise(resolve => {
        const timers: NodeJS.Timeout[] = [];
        const state: CallState = {
            running: new Map(),
            tried: new Set(),
            fallback: undefined,
            sends: 0,
            connectTries: 0,
            mayHaveRun: false,
            isDone: false,
            finish: outcome => {
                if (!state.isDone) {
                    state.isDone = true;
                    timers.forEach(timer => clearTimeout(timer));
                    state.running.forEach((_endpoint, attempt) => attempt.abort(outcome));
                    resolve(outcome);
                }
            },
        };
        exchange.onGone = () => state.finish("caller_gone");
        const leftMs = exchange.endsAtMs - performance.now();
        timers.push(setTimeout(() => endOutOfTime(context, exchange, state), leftMs));
        if (exchange.route.kind === "repeatable") {
            const afterMs = exchange.route.targetMs * SECOND_SEND_SHARE;
            timers.push(setTimeout(() => startNext(context, exchange, state), afterMs));
        }
        startNext(context, exchange, state);
    });
}

const mayRepeat = (exchange: Exchange): boolean => exchange.route.kind === "repeatable";

/** Sends the request to an endpoint that was not tried, if the route and the budget allow it. */
function startNext(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    if (state.isDone) {
        return;
    }
    const nowMs = performance.now();
    const loads = listLoads(context, exchange.service.name, nowMs)
        .filter(load => !state.tried.has(load.endpoint));
    const chosen = chooseServer(loads, context.directory.ownDomain, Math.random());
    const isAllowed = state.sends < exchange.route.attempts
        && (state.sends === 0 || context.budget.spend(exchange.service.name, nowMs));
    const endpoint = loads.find(load => load === chosen)?.endpoint;
    if (endpoint === undefined || !isAllowed) {
        if (state.running.size === 0) {
            endWithoutAnswer(context, exchange, state);
        }
        return;
    }
    startAttempt(context, exchange, state, endpoint);
}

function startAttempt(context: ForwardingContext, exchange: Exchange, state: CallState, endpoint: Endpoint): void {
    const nowMs = performance.now();
    const record: AttemptRecord = {
        endpoint: endpoint.entry.id,
        sentAfterMs: Math.round(nowMs - exchange.startedAtMs),
        outcome: "pending",
        wasSent: false,
    };
    exchange.attempts.push(record);
    state.tried.add(endpoint);
    state.sends += 1;
    const booking = context.ledger.add(
        {
            endpointId: endpoint.entry.id,
            memoryTokens: 0,
            readTokens: 0,
            parts: 1,
            readMs: 0,
            targetMs: exchange.route.targetMs,
            targetPauseMs: 0,
            isPart: false,
        },
        nowMs,
    );
    const chunks: Buffer[] = [];
    let status = 0;
    let headers: AnswerHeaders = {};
    const settle = (): void => {
        context.ledger.remove(booking.id);
        state.running.delete(attempt);
    };
    const attempt: RunningAttempt = runAttempt(context, exchange, {
        endpoint,
        record,
        // An answer that arrives late on a used connection could be taken for the one of a request that runs once.
        isFresh: !mayRepeat(exchange),
        onAnswer: (answered, answerHeaders) => {
            status = answered;
            headers = answerHeaders;
        },
        onData: chunk => void chunks.push(chunk),
        onEnd: () => {
            settle();
            handleAnswer(context, exchange, state, endpoint, { status, headers, body: Buffer.concat(chunks) });
        },
        onFailure: outcome => {
            settle();
            if (outcome === "unknown") {
                state.mayHaveRun = true;
            }
            if (!record.wasSent) {
                state.sends -= 1;
                state.connectTries += 1;
            }
            handleFailure(context, exchange, state);
        },
    });
    if (!state.isDone && record.outcome === "pending") {
        state.running.set(attempt, endpoint);
    }
}

function handleAnswer(
    context: ForwardingContext,
    exchange: Exchange,
    state: CallState,
    endpoint: Endpoint,
    answer: CallAnswer,
): void {
    if (state.isDone) {
        return;
    }
    state.mayHaveRun = true;
    recordUnanswered(state);
    if (answer.status >= FIRST_SERVER_ERROR && mayRepeat(exchange)) {
        endpoint.health = recordFailure(endpoint.health, performance.now());
        state.fallback = answer;
        startNext(context, exchange, state);
        return;
    }
    sendAnswer(exchange, state, answer);
}

/** Counts a failure for endpoints that were overtaken by another one, or by the end of the request's time. */
function recordUnanswered(state: CallState): void {
    const nowMs = performance.now();
    for (const endpoint of state.running.values()) {
        endpoint.health = recordFailure(endpoint.health, nowMs);
    }
}

function handleFailure(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    if (state.isDone) {
        return;
    }
    const mayTryAgain = mayRepeat(exchange) || !state.mayHaveRun;
    if (mayTryAgain && state.connectTries < MAX_CONNECT_TRIES) {
        startNext(context, exchange, state);
        return;
    }
    if (state.running.size === 0) {
        endWithoutAnswer(context, exchange, state);
    }
}

function sendAnswer(exchange: Exchange, state: CallState, answer: CallAnswer): void {
    const { response } = exchange;
    response.writeHead(answer.status, {
        ...selectAnswerHeaders(answer.headers),
        "content-length": String(answer.body.length),
    });
    response.end(answer.body);
    state.finish(answer.status < FIRST_SERVER_ERROR ? "answered" : "endpoint_failed");
}

function endWithoutAnswer(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    if (state.fallback !== undefined) {
        sendAnswer(exchange, state, state.fallback);
        return;
    }
    const reason: RefusalReason = state.mayHaveRun
        ? "outcome_unknown"
        : state.tried.size === 0
        ? "no_endpoint"
        : "not_run";
    sendRefusal(exchange.response, reason, context.callers.buildAnswerHeaders(exchange.requestId));
    state.finish(reason);
}

function endOutOfTime(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    recordUnanswered(state);
    sendRefusal(exchange.response, "out_of_time", context.callers.buildAnswerHeaders(exchange.requestId));
    state.finish("out_of_time");
}
