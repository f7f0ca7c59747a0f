/** One attempt of a stream: forwards events as they arrive and detects stalls. */
import { type ByteBuffer, createByteBuffer } from "@currantrill/http";
import { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import type { ResponseHeaders, RunningAttempt } from "../../endpoints/commands/sendAttempt.js";
import { markUnresponsive, recordFailure } from "../../endpoints/model/endpointHealth.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { AttemptTracker } from "../../quarantine/model/attemptTracker.js";
import { createEventSplitter, type EventSplitter, type StreamEvent } from "../../streams/model/eventSplitter.js";
import { getFirstEventLimits, getPauseLimits, type WaitLimits } from "../../streams/model/waitLimits.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import type { StreamAttemptPlan, StreamAttemptResult, StreamProgress } from "../model/streamAttempt.js";
import type { WriteResult } from "../model/streamOutput.js";
import { canReplace, isGone } from "../queries/canReplaceSilent.js";
import { getMediaType } from "../queries/getMediaType.js";
import { selectResponseHeaders } from "../queries/selectHeaders.js";
import { ANSWER_EVENTS } from "./checkCrash.js";
import { clearWhenClosed } from "./clearWhenClosed.js";
import { createStreamRecord } from "./createStreamRecord.js";
import { runAttempt } from "./runAttempt.js";
import { scheduleGoneCheck } from "./scheduleGoneCheck.js";

/** Interval at which a stalled attempt is checked again for which there is no other one now. */
export const RETRY_CHECK_MS = 200;

/** Time for the body of an error response, which is a few hundred bytes long. */
const ERROR_BODY_TIMEOUT_MS = 1_000;

/**
 * Time for which an endpoint writes an answer until the request is not at fault. A request that crashes endpoints does so as
 * they begin to run it; long streams would rarely clear a request while endpoints end one after the other.
 */
const MIN_SOUND_WRITING_MS = 200;

const MIN_UNSUCCESSFUL_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;

/** An error response of the endpoint, which is collected instead of streamed. */
interface ErrorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: ByteBuffer;
    readonly cancelTimeout: () => void;
}

export interface StreamRun {
    readonly context: ForwardingContext;
    readonly exchange: Exchange;
    readonly progress: StreamProgress;
    readonly plan: StreamAttemptPlan;
    readonly record: AttemptRecord;
    readonly splitter: EventSplitter;
    readonly startedAtMs: number;
    resolve: (end: StreamAttemptResult) => void;
    /** What a stop of the host does while no attempt runs. */
    readonly onStopWaiting: () => void;
    readonly resumeEndpointStream: () => void;
    readonly deadlineTimer: NodeJS.Timeout;
    readonly tracker: AttemptTracker;
    attempt: RunningAttempt | undefined;
    cancelStallCheck: () => void;
    errorResponse: ErrorResponse | undefined;
    lastEventAtMs: number | undefined;
    /** Bytes received since the last event that counts as progress. */
    bytesWithoutProgress: number;
    /** Whether reading waits for the caller. */
    isPaused: boolean;
    isSettled: boolean;
    /** Whether the endpoint is silent, and the next attempt has no event yet. */
    isSilent: boolean;
    /** Whether no other attempt can follow. */
    isLast: boolean;
    /** When the endpoint did not respond to a probe. */
    probeFailedAtMs: number | undefined;
}

export function runStreamAttempt(
    context: ForwardingContext,
    exchange: Exchange,
    progress: StreamProgress,
    plan: StreamAttemptPlan,
): Promise<StreamAttemptResult> {
    return new Promise(resolve => {
        const run: StreamRun = {
            context,
            exchange,
            progress,
            plan,
            record: createStreamRecord(exchange, plan),
            splitter: createEventSplitter({
                maxBytes: context.settings.responses.max_event_bytes,
                budget: exchange.responseBudget,
            }),
            startedAtMs: performance.now(),
            resolve,
            onStopWaiting: exchange.onStop,
            resumeEndpointStream: () => resumeAttempt(run),
            deadlineTimer: setTimeout(
                () => abortRun(run, { kind: "out_of_time" }, "request deadline exceeded"),
                exchange.deadlineAtMs - performance.now(),
            ),
            tracker: context.quarantine.track({
                request: exchange.tracked,
                ...(exchange.trial === undefined ? {} : { trial: exchange.trial.entry }),
                abort: () => abortRun(run, { kind: "isolated" }, "the request or a part of it has been isolated"),
            }),
            attempt: undefined,
            cancelStallCheck: () => undefined,
            errorResponse: undefined,
            lastEventAtMs: undefined,
            bytesWithoutProgress: 0,
            isPaused: false,
            isSettled: false,
            isSilent: false,
            isLast: plan.isFinalAttempt,
            probeFailedAtMs: undefined,
        };
        watchCaller(run);
        exchange.response.on("drain", run.resumeEndpointStream);
        run.attempt = runAttempt(context, exchange, {
            endpoint: plan.endpoint,
            record: run.record,
            permitted: plan.permitted,
            shardTargets: plan.shardTargets,
            ...(progress.lastEventId === undefined ? {} : { lastEventId: progress.lastEventId }),
            usesNewConnection: !exchange.route.canResume,
            onResponse: (status, headers) => beginResponse(run, status, headers),
            onData: chunk => handleData(run, chunk),
            onEnd: isDelimited => finishResponse(run, isDelimited),
            onFailure: (outcome, failure) =>
                finishRun(run, {
                    kind: outcome === "not_run" ? "not_run" : "broken",
                    wasSent: run.record.wasSent,
                    mayBeCrash: failure === "broken" && outcome === "unknown",
                }),
        });
        plan.onStarted(() =>
            abortRun(run, { kind: "broken", wasSent: run.record.wasSent }, "the silent endpoint goes on")
        );
        scheduleStallCheck(run, getFirstEventLimits(plan.placement.firstEventMs));
    });
}

/** Lets the attempt react to the caller and to a stop of the host. */
function watchCaller(run: StreamRun): void {
    run.exchange.onDisconnect = () => abortRun(run, { kind: "caller_gone" }, "caller disconnected");
    run.exchange.onStop = () => abortRun(run, { kind: "stopped" }, "the host stops");
}

function finishRun(run: StreamRun, end: StreamAttemptResult): void {
    if (run.isSettled) {
        return;
    }
    run.isSettled = true;
    run.tracker.end();
    run.splitter.close();
    run.cancelStallCheck();
    clearTimeout(run.deadlineTimer);
    run.errorResponse?.cancelTimeout();
    run.errorResponse?.body.clear();
    if (!run.isSilent) {
        stopWatchingCaller(run);
    }
    run.exchange.response.off("drain", run.resumeEndpointStream);
    run.resolve(end);
}

function stopWatchingCaller(run: StreamRun): void {
    run.exchange.onDisconnect = undefined;
    run.exchange.onStop = run.onStopWaiting;
}

/**
 * Lets another attempt be made. This one goes on meanwhile, if it may, since the next one may be refused or fail: the first
 * event of either ends the other.
 */
function releaseSilent(run: StreamRun, reason: string): void {
    const end = { kind: "broken", wasSent: run.record.wasSent } as const;
    if (!run.plan.mayGoOnSilent() || !run.record.wasSent) {
        abortRun(run, end, reason);
        return;
    }
    run.cancelStallCheck();
    run.isSilent = true;
    run.record.outcome = "silent";
    stopWatchingCaller(run);
    const { resolve } = run;
    const ended = new Promise<StreamAttemptResult>(resolveEnd => {
        run.resolve = resolveEnd;
    });
    const abort = (): void => abortRun(run, end, reason);
    resolve({ kind: "silent", wasSent: true, attempt: { ended, resumeAlone: () => resumeAlone(run), abort } });
}

function resumeAlone(run: StreamRun): void {
    if (run.isSilent && !run.isSettled) {
        run.isSilent = false;
        run.isLast = true;
        run.record.outcome = "pending";
        watchCaller(run);
        scheduleGoneCheck(
            run,
            () => abortRun(run, { kind: "broken", wasSent: run.record.wasSent }, "the endpoint does not respond"),
        );
    }
}

/** Ends the next attempt in favour of this one, whose endpoint goes on. */
function resumeSilent(run: StreamRun): void {
    if (run.isSilent) {
        run.plan.onGoesOn();
        resumeAlone(run);
    }
}

function abortRun(run: StreamRun, end: StreamAttemptResult, reason: string): void {
    finishRun(run, end);
    run.attempt?.abort(reason);
}

/** If no event arrives in time, probes the endpoint and handles the stall. Not done for the final attempt. */
function scheduleStallCheck(run: StreamRun, limits: WaitLimits): void {
    run.cancelStallCheck();
    if (run.isLast || run.isSettled || run.isPaused || run.isSilent) {
        return;
    }
    const { events } = run.progress;
    run.cancelStallCheck = startTimeout(limits.probeAfterMs, () => {
        void probeEndpoint(run.plan.endpoint, run.context.protocol).then(report => {
            if (!run.isSettled && !run.isSilent && !run.isLast && run.progress.events === events) {
                handleStall(run, limits, report !== undefined);
            }
        });
    });
}

/**
 * Aborts the attempt at once if the endpoint did not respond to the probe, otherwise after `abortAfterMs`, and only if
 * another one can take its place.
 */
function handleStall(run: StreamRun, limits: WaitLimits, isResponsive: boolean): void {
    const { endpoint } = run.plan;
    if (isResponsive) {
        scheduleStallAbort(
            run,
            limits.abortAfterMs - limits.probeAfterMs,
            `no event for ${Math.round(limits.abortAfterMs)} ms`,
        );
        return;
    }
    run.probeFailedAtMs = performance.now();
    endpoint.health = markUnresponsive(endpoint.health, run.probeFailedAtMs);
    const reason = "no event, and the endpoint did not respond to a probe";
    if (canReplace(run)) {
        releaseSilent(run, reason);
        return;
    }
    scheduleStallAbort(run, RETRY_CHECK_MS, reason);
}

/** Aborts the attempt after a time, as soon as another one can take its place or its endpoint has gone. */
function scheduleStallAbort(run: StreamRun, delayMs: number, reason: string): void {
    const { endpoint } = run.plan;
    run.cancelStallCheck = startTimeout(delayMs, () => {
        const isReplaceable = canReplace(run);
        if (!isReplaceable && !isGone(run)) {
            scheduleStallAbort(run, RETRY_CHECK_MS, reason);
            return;
        }
        endpoint.health = recordFailure(endpoint.health, performance.now());
        if (isReplaceable) {
            releaseSilent(run, reason);
            return;
        }
        abortRun(run, { kind: "broken", wasSent: run.record.wasSent }, reason);
    });
}

function beginResponse(run: StreamRun, status: number, received: ResponseHeaders): void {
    const headers = selectResponseHeaders(received);
    if (status >= MIN_UNSUCCESSFUL_STATUS) {
        run.cancelStallCheck();
        run.errorResponse = {
            status,
            headers,
            body: createByteBuffer({
                maxBytes: run.context.settings.responses.max_body_bytes,
                budget: run.exchange.responseBudget,
            }),
            cancelTimeout: startTimeout(
                ERROR_BODY_TIMEOUT_MS,
                () => abortRun(run, { kind: "broken", wasSent: true }, "error response not complete in time"),
            ),
        };
        return;
    }
    const mediaType = getMediaType(received);
    if (run.progress.hasSentHeaders && mediaType !== run.progress.mediaType) {
        run.plan.endpoint.health = recordFailure(run.plan.endpoint.health, performance.now());
        abortRun(run, { kind: "broken", wasSent: true }, "response does not continue the stream: other content type");
        return;
    }
    if (!run.progress.hasSentHeaders) {
        run.progress.hasSentHeaders = true;
        run.progress.mediaType = mediaType;
        run.progress.output.begin(status, headers);
    }
}

/** Handles a part of the body. Returns `false` if the endpoint sends too much without an event. */
function handleData(run: StreamRun, chunk: Buffer): boolean {
    if (run.isSettled) {
        return true;
    }
    if (run.errorResponse !== undefined) {
        return run.errorResponse.body.append(chunk);
    }
    const events = run.splitter.push(chunk);
    if (events === undefined) {
        return false;
    }
    if (events.some(event => event.hasContent && isNew(run.progress, event))) {
        resumeSilent(run);
    }
    const forwarded = forwardEvents(run, events);
    // Comments and empty lines are forwarded, but an endpoint that sends nothing else has stalled.
    if (events.some(event => event.hasContent)) {
        scheduleStallCheck(run, getPauseLimits(run.exchange.route.targetPauseMs));
    }
    // Events that the caller already has may be sent again without end.
    run.bytesWithoutProgress = forwarded.some(event => event.hasContent)
        ? 0
        : run.bytesWithoutProgress + chunk.length;
    return run.bytesWithoutProgress <= run.context.settings.responses.max_event_bytes;
}

/**
 * Forwards events, except those that the caller has already received from an earlier attempt, and returns the forwarded
 * ones. They are written at once: a chunk may hold thousands.
 */
function forwardEvents(run: StreamRun, events: readonly StreamEvent[]): readonly StreamEvent[] {
    const forwarded = events.filter(event => {
        const isForwarded = isNew(run.progress, event);
        if (isForwarded) {
            recordEvent(run, event);
        }
        return isForwarded;
    });
    if (forwarded.length === 0) {
        return forwarded;
    }
    const [first] = forwarded;
    const bytes = forwarded.length === 1 && first !== undefined
        ? first.bytes
        : Buffer.concat(forwarded.map(event => event.bytes));
    writeHandlers[run.progress.output.write(bytes)](run);
    return forwarded;
}

const writeHandlers: Readonly<Record<WriteResult, (run: StreamRun) => void>> = {
    accepted: () => undefined,
    full: waitForCaller,
    exceeded: run => {
        abortRun(run, { kind: "too_large" }, "the host cannot hold the response for a caller that reads no chunks");
    },
};

/** Stops reading until the caller has received what was written. The endpoint has not stalled meanwhile. */
function waitForCaller(run: StreamRun): void {
    run.isPaused = true;
    run.cancelStallCheck();
    run.attempt?.pause();
}

/** Goes on reading, unless what the caller has received now was written by an earlier attempt. */
function resumeAttempt(run: StreamRun): void {
    if (!run.isPaused) {
        return;
    }
    run.isPaused = false;
    run.attempt?.resume();
    scheduleStallCheck(run, getPauseLimits(run.exchange.route.targetPauseMs));
}

const isNew = ({ lastEventId }: StreamProgress, { id }: StreamEvent): boolean =>
    id === undefined || lastEventId === undefined || id > lastEventId;

/** Records an event that is forwarded. */
function recordEvent(run: StreamRun, event: StreamEvent): void {
    const { progress, record, exchange } = run;
    if (event.hasContent) {
        progress.lastEventId = event.id ?? progress.lastEventId;
        progress.events += 1;
        record.events = (record.events ?? 0) + 1;
        recordEventGap(run);
        if (record.firstAfterMs === undefined) {
            record.firstAfterMs = Math.round(performance.now() - exchange.startedAtMs);
            run.plan.onFirstEvent();
        }
        if (record.events === ANSWER_EVENTS) {
            run.tracker.recordAnswer(exchange.startedAtMs + record.firstAfterMs);
        }
        const writtenMs = performance.now() - exchange.startedAtMs - record.firstAfterMs;
        if (record.events >= ANSWER_EVENTS && writtenMs >= MIN_SOUND_WRITING_MS) {
            run.tracker.recordSoundAnswer();
        }
    }
}

function recordEventGap(run: StreamRun): void {
    const nowMs = performance.now();
    if (run.lastEventAtMs !== undefined) {
        const gapMs = Math.round(nowMs - run.lastEventAtMs);
        run.record.longestPauseMs = Math.max(run.record.longestPauseMs ?? 0, gapMs);
    }
    run.lastEventAtMs = nowMs;
}

function finishResponse(run: StreamRun, isDelimited: boolean): void {
    if (run.isSettled) {
        return;
    }
    if (run.errorResponse !== undefined) {
        run.tracker.recordSoundAnswer();
        finishRun(run, resolveErrorResponse(run, run.errorResponse));
        return;
    }
    // An endpoint that crashes ends its connections, and with them a body that nothing else delimits.
    const isEmpty = !isDelimited && run.record.events === undefined;
    if (isEmpty || run.splitter.hasIncompleteEvent()) {
        run.record.reason = isEmpty ? "response ended without an event" : "response ended inside an event";
        finishRun(run, { kind: "broken", wasSent: true, mayBeCrash: true });
        return;
    }
    resumeSilent(run);
    if (run.record.firstAfterMs !== undefined) {
        run.tracker.recordAnswer(run.exchange.startedAtMs + run.record.firstAfterMs);
    }
    run.tracker.recordSoundAnswer();
    run.progress.output.end();
    finishRun(run, { kind: "complete" });
}

/** Forwards an error response if nothing has been sent to the caller and no other endpoint may be tried. */
function resolveErrorResponse(run: StreamRun, errorResponse: ErrorResponse): StreamAttemptResult {
    const canTryAnother = (!run.plan.isFinalAttempt || run.plan.hasSilentAttempt())
        && errorResponse.status >= MIN_SERVER_ERROR_STATUS;
    if (run.progress.hasSentHeaders || canTryAnother) {
        return { kind: "broken", wasSent: true };
    }
    resumeSilent(run);
    const body = errorResponse.body.read();
    run.exchange.response.writeHead(errorResponse.status, {
        ...errorResponse.headers,
        "content-length": String(body.length),
    });
    run.exchange.response.end(body);
    clearWhenClosed(run.exchange.response, errorResponse.body);
    errorResponse.cancelTimeout();
    run.errorResponse = undefined;
    return { kind: "passed_on" };
}
