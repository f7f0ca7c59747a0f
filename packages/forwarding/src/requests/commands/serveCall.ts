/** Serves requests whose response is a single body. */
import { createByteBuffer } from "@currantrill/http";
import { readClocks } from "@currantrill/protocol";
import type { ResponseHeaders, RunningAttempt } from "../../endpoints/commands/sendAttempt.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { recordFailure } from "../../endpoints/model/endpointHealth.js";
import { isServiceEvacuated } from "../../evacuation/queries/isServiceEvacuated.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import { chooseLeastLoaded } from "../../placement/queries/chooseLeastLoaded.js";
import { selectWarm } from "../../warmup/queries/selectWarm.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import { canBeAnswered } from "../queries/canAnswerInTime.js";
import { getRetrySeconds } from "../queries/getRetrySeconds.js";
import { isAvailable } from "../queries/isAvailable.js";
import { listLoads } from "../queries/listLoads.js";
import { selectResponseHeaders } from "../queries/selectHeaders.js";
import { admitExchange, refuseIsolated } from "./admitExchange.js";
import { type BrokenAttemptReport, checkCrash } from "./checkCrash.js";
import { clearWhenClosed } from "./clearWhenClosed.js";
import { finishAtStop } from "./finishAtStop.js";
import { runAttempt } from "./runAttempt.js";
import { type RefusalReason, sendRefusal } from "./sendRefusal.js";

/** Fraction of the route's target latency after which a repeatable request is hedged: also sent to another endpoint. */
const HEDGE_TARGET_FRACTION = 0.6;
/** Limit on attempts that fail before the request is sent. They do not count as attempts of the route. */
const MAX_CONNECT_FAILURES = 3;
/** Number of endpoints for which a permit is requested. After that only endpoints without a rate limit are used. */
const MAX_PERMIT_ATTEMPTS = 3;
const MIN_SERVER_ERROR_STATUS = 500;

interface CallResponse {
    readonly status: number;
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
}

/** State of a call over all its attempts, of which two may be in progress because of hedging. */
interface CallState {
    /** Attempts in progress, with their endpoints. */
    readonly running: Map<RunningAttempt, Endpoint>;
    /** Endpoints of all attempts so far. */
    readonly tried: Set<Endpoint>;
    /** Last error response of an endpoint, forwarded to the caller if no other endpoint succeeds. */
    fallback: CallResponse | undefined;
    /** Attempts without those that failed before the request was sent. */
    attemptsSent: number;
    /** Attempts that failed before the request was sent. */
    connectFailures: number;
    /** Whether an endpoint may have run the request. */
    mayHaveRun: boolean;
    isFinished: boolean;
    /** Decisions in progress on whether there is another attempt, and where. */
    pendingDecisions: number;
    /** Whether the request may be the reason for the crash of its endpoint, so that no other one is tried. */
    isCrashSuspected: boolean;
    /** Aborts the attempts in progress and resolves the call; only the first outcome counts. */
    finish: (outcome: string) => void;
}

/** Serves a call. Resolves with the outcome when the caller has its response or has disconnected. */
export function serveCall(context: ForwardingContext, exchange: Exchange): Promise<string> {
    return new Promise(resolve => {
        const timers: NodeJS.Timeout[] = [];
        const state: CallState = {
            running: new Map(),
            tried: new Set(),
            fallback: undefined,
            attemptsSent: 0,
            connectFailures: 0,
            mayHaveRun: false,
            isFinished: false,
            pendingDecisions: 0,
            isCrashSuspected: false,
            finish: outcome => {
                if (!state.isFinished) {
                    state.isFinished = true;
                    timers.forEach(timer => clearTimeout(timer));
                    state.running.forEach((_endpoint, attempt) => attempt.abort(outcome));
                    resolve(outcome);
                }
            },
        };
        exchange.onDisconnect = () => state.finish("caller_gone");
        exchange.onStop = () => finishCallAtStop(context, exchange, state);
        const remainingMs = exchange.deadlineAtMs - performance.now();
        timers.push(setTimeout(() => finishAtDeadline(context, exchange, state), remainingMs));
        if (exchange.route.kind === "repeatable") {
            const hedgeAfterMs = exchange.route.targetMs * HEDGE_TARGET_FRACTION;
            timers.push(setTimeout(() => void startNextAttempt(context, exchange, state), hedgeAfterMs));
        }
        void startNextAttempt(context, exchange, state);
    });
}

const isRepeatable = (exchange: Exchange): boolean => exchange.route.kind === "repeatable";

/** Sends the request to an endpoint not tried so far, if the attempts of the route and the retry budget allow it. */
async function startNextAttempt(context: ForwardingContext, exchange: Exchange, state: CallState): Promise<void> {
    if (hasFinished(state) || state.pendingDecisions > 0) {
        return;
    }
    state.pendingDecisions += 1;
    const admission = canStartAttempt(context, exchange, state) ? await admitExchange(context, exchange) : undefined;
    const endpoint =
        admission === undefined || admission.kind === "isolated" || !canStartAttempt(context, exchange, state)
            ? undefined
            : await chooseEndpoint(context, exchange, state.tried);
    state.pendingDecisions -= 1;
    if (hasFinished(state)) {
        return;
    }
    if (admission?.kind === "isolated") {
        // Attempts in progress may still be answered; the quarantine aborts them if they must not go on.
        if (state.running.size > 0) {
            return;
        }
        state.finish(refuseIsolated(context, exchange, admission));
        return;
    }
    const isRetry = state.attemptsSent > 0;
    if (
        endpoint !== undefined
        // The choice may have waited for a permit, and an endpoint may have crashed under the request meanwhile.
        && canStartAttempt(context, exchange, state)
        && (!isRetry || context.retryBudget.spend(exchange.service.name, performance.now()))
    ) {
        startAttempt(context, exchange, state, endpoint);
        return;
    }
    if (state.running.size === 0) {
        finishWithoutSuccess(context, exchange, state);
    }
}

/** The state may change while an endpoint is being chosen. */
const hasFinished = (state: CallState): boolean => state.isFinished;

const canStartAttempt = (context: ForwardingContext, exchange: Exchange, state: CallState): boolean =>
    state.attemptsSent < exchange.route.attempts
    && canBeAnswered(context, exchange)
    && (state.attemptsSent === 0 || canRepeat(context, exchange, state));

/** Returns whether the request may be sent to another endpoint, as a hedged attempt or after one that failed. */
const canRepeat = (
    { quarantine, retryBudget }: ForwardingContext,
    { service, tracked, trial }: Exchange,
    { running, isCrashSuspected }: CallState,
): boolean =>
    trial === undefined
    && !isCrashSuspected
    // A request under which an endpoint has crashed runs at one endpoint at a time until it has been answered.
    && (running.size === 0 || quarantine.countCrashes(tracked) === 0)
    && retryBudget.canSpend(service.name, performance.now());

/** Chooses an endpoint. If it names a rate limit, a permit is acquired. */
async function chooseEndpoint(
    context: ForwardingContext,
    exchange: Exchange,
    tried: ReadonlySet<Endpoint>,
): Promise<Endpoint | undefined> {
    for (let attempt = 1;; attempt += 1) {
        const loads = selectWarm(
            listLoads(context, exchange.service.name, performance.now()).filter(load =>
                !tried.has(load.endpoint)
                && isAvailable(context, load, 0)
                && (attempt <= MAX_PERMIT_ATTEMPTS || !load.isRateLimited)
            ),
            attempt,
        );
        const chosen = chooseLeastLoaded(loads, context.directory.localFailureDomain, Math.random());
        const endpoint = loads.find(load => load === chosen)?.endpoint;
        if (endpoint === undefined || await context.permits.acquire({ endpoints: [endpoint], permitsLeft: 0 })) {
            return endpoint;
        }
    }
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
    state.attemptsSent += 1;
    const assignment = context.assignmentRegistry.add(
        {
            endpointId: endpoint.entry.id,
            memoryTokens: 0,
            prefillTokens: 0,
            promptShards: 1,
            prefillMs: 0,
            targetMs: exchange.route.targetMs,
            targetPauseMs: 0,
            isDecodedElsewhere: false,
        },
        nowMs,
    );
    const collector = createByteBuffer({
        maxBytes: context.settings.responses.max_body_bytes,
        budget: exchange.responseBudget,
    });
    let status = 0;
    let headers: ResponseHeaders = {};
    const tracker = context.quarantine.track({
        request: exchange.tracked,
        ...(exchange.trial === undefined ? {} : { trial: exchange.trial.entry }),
        abort: ({ suspect }) => {
            state.finish(refuseIsolated(context, exchange, { suspect, retryAfterMs: undefined }));
        },
    });
    const releaseAttempt = (): void => {
        tracker.end();
        context.assignmentRegistry.remove(assignment.id);
        state.running.delete(attempt);
    };
    const attempt: RunningAttempt = runAttempt(context, exchange, {
        endpoint,
        record,
        permitted: { endpoints: [endpoint], at: readClocks() },
        // On a reused connection, a late response to an earlier request could be mistaken for the response to this one.
        usesNewConnection: !isRepeatable(exchange),
        onResponse: (responseStatus, responseHeaders) => {
            status = responseStatus;
            headers = responseHeaders;
        },
        onData: collector.append,
        onEnd: () => {
            tracker.recordSoundAnswer();
            releaseAttempt();
            // The body occupies memory until the caller has received it.
            clearWhenClosed(exchange.response, collector);
            handleResponse(context, exchange, state, endpoint, { status, headers, body: collector.read() });
        },
        onFailure: (outcome, failure) => {
            releaseAttempt();
            collector.clear();
            if (outcome === "unknown") {
                state.mayHaveRun = true;
            }
            if (!record.wasSent) {
                state.attemptsSent -= 1;
                state.connectFailures += 1;
            }
            const mayBeCrash = failure === "broken" && outcome === "unknown";
            void handleFailure(context, exchange, state, { endpoint, record, mayBeCrash });
        },
    });
    if (!state.isFinished && record.outcome === "pending") {
        state.running.set(attempt, endpoint);
    }
}

function handleResponse(
    context: ForwardingContext,
    exchange: Exchange,
    state: CallState,
    endpoint: Endpoint,
    callResponse: CallResponse,
): void {
    if (state.isFinished) {
        return;
    }
    state.mayHaveRun = true;
    recordPendingFailures(state);
    if (callResponse.status >= MIN_SERVER_ERROR_STATUS && isRepeatable(exchange)) {
        endpoint.health = recordFailure(endpoint.health, performance.now());
        state.fallback = callResponse;
        void startNextAttempt(context, exchange, state);
        return;
    }
    sendResponse(exchange, state, callResponse);
}

/** Records a failure for each endpoint that has not responded when another one responds or the deadline passes. */
function recordPendingFailures(state: CallState): void {
    const nowMs = performance.now();
    for (const endpoint of state.running.values()) {
        endpoint.health = recordFailure(endpoint.health, nowMs);
    }
}

async function handleFailure(
    context: ForwardingContext,
    exchange: Exchange,
    state: CallState,
    broken: BrokenAttemptReport,
): Promise<void> {
    // Reported also after the call has ended: the endpoint may have crashed under a hedged attempt.
    if (broken.mayBeCrash) {
        state.pendingDecisions += 1;
        state.isCrashSuspected = await checkCrash(context, exchange, broken) || state.isCrashSuspected;
        state.pendingDecisions -= 1;
    }
    if (hasFinished(state)) {
        return;
    }
    const canRetry = !state.isCrashSuspected && (isRepeatable(exchange) || !state.mayHaveRun);
    if (canRetry && state.connectFailures < MAX_CONNECT_FAILURES) {
        void startNextAttempt(context, exchange, state);
        return;
    }
    if (state.running.size === 0 && state.pendingDecisions === 0) {
        finishWithoutSuccess(context, exchange, state);
    }
}

function sendResponse(exchange: Exchange, state: CallState, callResponse: CallResponse): void {
    const { response } = exchange;
    response.writeHead(callResponse.status, {
        ...selectResponseHeaders(callResponse.headers),
        "content-length": String(callResponse.body.length),
    });
    response.end(callResponse.body);
    state.finish(callResponse.status < MIN_SERVER_ERROR_STATUS ? "answered" : "endpoint_failed");
}

function finishWithoutSuccess(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    if (state.fallback !== undefined) {
        sendResponse(exchange, state, state.fallback);
        return;
    }
    const retrySeconds = getRetrySeconds(context, exchange.service.name, 0);
    const reason: RefusalReason = state.isCrashSuspected && isRepeatable(exchange)
        ? "crash_suspected"
        : state.mayHaveRun
        ? "outcome_unknown"
        : retrySeconds !== undefined
        ? "rate_limited"
        : isServiceEvacuated(context, exchange.service.name)
        ? "evacuated"
        : state.tried.size === 0
        ? "no_endpoint"
        : "not_run";
    const headers = context.callers.buildResponseHeaders(exchange.requestId);
    sendRefusal(exchange.response, reason, headers, reason === "rate_limited" ? retrySeconds : undefined);
    state.finish(reason);
}

/** Gives a call its final answer when the host stops. */
function finishCallAtStop(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    if (state.isFinished) {
        return;
    }
    if (state.fallback !== undefined) {
        sendResponse(exchange, state, state.fallback);
        return;
    }
    state.finish(finishAtStop(context, exchange));
}

function finishAtDeadline(context: ForwardingContext, exchange: Exchange, state: CallState): void {
    recordPendingFailures(state);
    sendRefusal(exchange.response, "out_of_time", context.callers.buildResponseHeaders(exchange.requestId));
    state.finish("out_of_time");
}
