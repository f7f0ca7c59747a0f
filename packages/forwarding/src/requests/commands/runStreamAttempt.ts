/** One attempt of a stream: passes events on as they arrive, and notices when none arrive. */
import { checkEndpoint } from "../../endpoints/commands/checkEndpoint.js";
import type { AnswerHeaders, RunningAttempt } from "../../endpoints/commands/sendAttempt.js";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { recordFailure, recordSilence } from "../../endpoints/model/endpointHealth.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Placement } from "../../placement/queries/choosePlacement.js";
import type { PromptPart } from "../../ports/endpointProtocol.js";
import { createEventSplitter, type EventSplitter, type StreamEvent } from "../../streams/model/eventSplitter.js";
import type { AttemptRecord } from "../model/attemptRecord.js";
import type { Exchange } from "../model/exchange.js";
import { selectAnswerHeaders } from "../queries/selectHeaders.js";
import { runAttempt } from "./runAttempt.js";

/** Limits on a wait for events: after `askAfterMs` the endpoint is asked whether it lives, after `giveUpMs` another is tried. */
interface WaitLimits {
    readonly askAfterMs: number;
    readonly giveUpMs: number;
}

/** A long answer of a busy endpoint is not given up: the work done for it would be lost, and done again elsewhere. */
const getFirstEventLimits = (expectedMs: number): WaitLimits => ({
    askAfterMs: 300 + 1.5 * expectedMs,
    giveUpMs: 1_300 + 4 * expectedMs,
});

/** Callers leave after 2 s, or eight times the pause that their route allows. */
const getPauseLimits = (targetPauseMs: number): WaitLimits => ({
    askAfterMs: Math.max(600, 1.5 * targetPauseMs),
    giveUpMs: Math.max(1_200, 4 * targetPauseMs),
});

const FIRST_FAILURE_STATUS = 300;
const FIRST_SERVER_ERROR = 500;

/** What the caller has received so far. */
export interface StreamProgress {
    lastEventId: number | undefined;
    /** Whether the answer's headers have been sent. */
    hasBegun: boolean;
    events: number;
}

export type StreamEnd =
    | { readonly kind: "complete" | "passed_on" | "caller_gone" | "out_of_time"; }
    /** `not_run`: the endpoint has not run the request. `broken`: it may have run, in part or whole. */
    | { readonly kind: "not_run" | "broken"; readonly wasSent: boolean; };

export interface StreamAttemptPlan {
    readonly endpoint: Endpoint;
    /** No other endpoint may be tried, so the attempt goes on as long as there is time. */
    readonly isLast: boolean;
    readonly placement?: Placement;
    readonly parts: readonly PromptPart[];
    readonly onFirstEvent: () => void;
}

/** An endpoint's own failure. */
interface EndpointFailure {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Buffer[];
}

interface StreamRun {
    readonly context: ForwardingContext;
    readonly exchange: Exchange;
    readonly progress: StreamProgress;
    readonly plan: StreamAttemptPlan;
    readonly record: AttemptRecord;
    readonly splitter: EventSplitter;
    readonly resolve: (end: StreamEnd) => void;
    readonly resumeReading: () => void;
    readonly endTimer: NodeJS.Timeout;
    attempt: RunningAttempt | undefined;
    stallTimer: NodeJS.Timeout | undefined;
    failure: EndpointFailure | undefined;
    lastEventAtMs: number | undefined;
    isSettled: boolean;
}

/** Runs an attempt until it ends. */
export function runStreamAttempt(
    context: ForwardingContext,
    exchange: Exchange,
    progress: StreamProgress,
    plan: StreamAttemptPlan,
): Promise<StreamEnd> {
    return new Promise(resolve => {
        const run: StreamRun = {
            context,
            exchange,
            progress,
            plan,
            record: createRecord(exchange, plan),
            splitter: createEventSplitter(),
            resolve,
            resumeReading: () => run.attempt?.resume(),
            endTimer: setTimeout(
                () => stopRun(run, { kind: "out_of_time" }, "out of time"),
                exchange.endsAtMs - performance.now(),
            ),
            attempt: undefined,
            stallTimer: undefined,
            failure: undefined,
            lastEventAtMs: undefined,
            isSettled: false,
        };
        exchange.onGone = () => stopRun(run, { kind: "caller_gone" }, "caller gone");
        exchange.response.on("drain", run.resumeReading);
        run.attempt = runAttempt(context, exchange, {
            endpoint: plan.endpoint,
            record: run.record,
            parts: plan.parts,
            ...(progress.lastEventId === undefined ? {} : { lastEventId: progress.lastEventId }),
            isFresh: !exchange.route.canResume,
            onAnswer: (status, headers) => beginAnswer(run, status, headers),
            onData: chunk => acceptData(run, chunk),
            onEnd: () => endAnswer(run),
            onFailure: outcome =>
                finishRun(run, {
                    kind: outcome === "not_run" ? "not_run" : "broken",
                    wasSent: run.record.wasSent,
                }),
        });
        watchStall(run, getFirstEventLimits(plan.placement?.firstEventMs ?? 0));
    });
}

function createRecord(exchange: Exchange, plan: StreamAttemptPlan): AttemptRecord {
    const record: AttemptRecord = {
        endpoint: plan.endpoint.entry.id,
        sentAfterMs: Math.round(performance.now() - exchange.startedAtMs),
        ...describePlacement(plan.placement),
        ...(plan.parts.length === 0 ? {} : { parts: plan.parts.map(part => part.address) }),
        outcome: "pending",
        wasSent: false,
    };
    exchange.attempts.push(record);
    return record;
}

/** What placement expected, and of how much work on the endpoint it knew. */
const describePlacement = (placement: Placement | undefined): Partial<AttemptRecord> =>
    placement === undefined ? {} : {
        expectedMs: Math.round(placement.firstEventMs),
        backlogMs: Math.round(placement.backlogMs),
        booked: placement.first.bookings.length,
        cost: Number(placement.cost.toFixed(2)),
    };

function finishRun(run: StreamRun, end: StreamEnd): void {
    if (run.isSettled) {
        return;
    }
    run.isSettled = true;
    clearTimeout(run.stallTimer);
    clearTimeout(run.endTimer);
    run.exchange.onGone = undefined;
    run.exchange.response.off("drain", run.resumeReading);
    run.resolve(end);
}

function stopRun(run: StreamRun, end: StreamEnd, reason: string): void {
    finishRun(run, end);
    run.attempt?.abort(reason);
}

/** Gives the attempt up if no event arrives in time and another endpoint may be tried. */
function watchStall(run: StreamRun, limits: WaitLimits): void {
    clearTimeout(run.stallTimer);
    if (run.plan.isLast || run.isSettled) {
        return;
    }
    const { events } = run.progress;
    run.stallTimer = setTimeout(() => {
        void checkEndpoint(run.plan.endpoint, run.context.protocol).then(report => {
            if (!run.isSettled && run.progress.events === events) {
                handleStall(run, limits, report !== undefined);
            }
        });
    }, limits.askAfterMs);
}

function handleStall(run: StreamRun, limits: WaitLimits, isAlive: boolean): void {
    const { endpoint } = run.plan;
    if (!isAlive) {
        endpoint.health = recordSilence(endpoint.health, performance.now());
        stopRun(run, { kind: "broken", wasSent: run.record.wasSent }, "no event, and the endpoint does not answer");
        return;
    }
    run.stallTimer = setTimeout(() => {
        endpoint.health = recordFailure(endpoint.health, performance.now());
        stopRun(run, { kind: "broken", wasSent: run.record.wasSent }, `no event for ${Math.round(limits.giveUpMs)} ms`);
    }, limits.giveUpMs - limits.askAfterMs);
}

function beginAnswer(run: StreamRun, status: number, received: AnswerHeaders): void {
    const headers = selectAnswerHeaders(received);
    if (status >= FIRST_FAILURE_STATUS) {
        run.failure = { status, headers, body: [] };
        return;
    }
    if (!run.progress.hasBegun) {
        run.progress.hasBegun = true;
        run.exchange.response.writeHead(status, headers);
        run.exchange.response.flushHeaders();
    }
}

function acceptData(run: StreamRun, chunk: Buffer): void {
    if (run.isSettled) {
        return;
    }
    if (run.failure !== undefined) {
        run.failure.body.push(chunk);
        return;
    }
    const events = run.splitter.push(chunk);
    events.forEach(event => forwardEvent(run, event));
    if (events.length > 0) {
        watchStall(run, getPauseLimits(run.exchange.route.targetPauseMs));
    }
}

/** Passes an event on, unless the caller has it from an earlier attempt. */
function forwardEvent(run: StreamRun, event: StreamEvent): void {
    const { progress, record, exchange } = run;
    if (event.id !== undefined && progress.lastEventId !== undefined && event.id <= progress.lastEventId) {
        return;
    }
    progress.lastEventId = event.id ?? progress.lastEventId;
    progress.events += 1;
    recordPause(run);
    if (record.firstAfterMs === undefined) {
        record.firstAfterMs = Math.round(performance.now() - exchange.startedAtMs);
        run.plan.onFirstEvent();
    }
    if (!exchange.response.write(event.bytes)) {
        run.attempt?.pause();
    }
}

function recordPause(run: StreamRun): void {
    const nowMs = performance.now();
    if (run.lastEventAtMs !== undefined) {
        const pauseMs = Math.round(nowMs - run.lastEventAtMs);
        run.record.longestPauseMs = Math.max(run.record.longestPauseMs ?? 0, pauseMs);
    }
    run.lastEventAtMs = nowMs;
}

function endAnswer(run: StreamRun): void {
    if (run.isSettled) {
        return;
    }
    if (run.failure !== undefined) {
        finishRun(run, endWithFailure(run, run.failure));
        return;
    }
    if (run.splitter.hasRest()) {
        run.record.reason = "ended inside an event";
        finishRun(run, { kind: "broken", wasSent: true });
        return;
    }
    run.exchange.response.end();
    finishRun(run, { kind: "complete" });
}

/** An endpoint's own failure is passed on if nothing was sent to the caller and no other endpoint may be tried. */
function endWithFailure(run: StreamRun, failure: EndpointFailure): StreamEnd {
    const mayTryAnother = !run.plan.isLast && failure.status >= FIRST_SERVER_ERROR;
    if (run.progress.hasBegun || mayTryAnother) {
        return { kind: "broken", wasSent: true };
    }
    const body = Buffer.concat(failure.body);
    run.exchange.response.writeHead(failure.status, { ...failure.headers, "content-length": String(body.length) });
    run.exchange.response.end(body);
    return { kind: "passed_on" };
}
