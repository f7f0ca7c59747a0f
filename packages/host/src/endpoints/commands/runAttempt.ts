/** Runs one attempt of a prompt on an engine: sends the request and reads the stream of tokens. */
import {
    acceptStreamEvent,
    getProgressDeadline,
    type ProgressLimits,
    startStreamAttempt,
    type StreamEvent,
    type StreamState,
} from "@currantrill/core";
import { createGuardedDispatcher, type HttpConnectionPool, readServerSentEvents } from "@currantrill/http";
import {
    type AttemptId,
    callerHeaders,
    generatedTokenSchema,
    type GenerateRequest,
    STREAM_TERMINATOR,
} from "@currantrill/protocol";
import type { Dispatcher } from "undici";
import { createProgressWatchdog, type ProgressWatchdog } from "../model/progressWatchdog.js";
import type { InterruptReason } from "../model/runningAttempt.js";

/** Characters of an engine's error response that are kept for the log. */
const MAX_REFUSAL_MESSAGE_LENGTH = 4_096;
/** Time for the response to end after the terminator, so that its connection can be reused, in milliseconds. */
const END_OF_RESPONSE_TIMEOUT_MS = 1_000;

export interface AttemptOptions {
    readonly connections: HttpConnectionPool;
    readonly body: GenerateRequest;
    readonly attemptId: AttemptId;
    /** Time within which the engine must send its response status, in milliseconds. */
    readonly acceptTimeoutMs: number;
    readonly progressLimits: ProgressLimits;
    /** Aborts the attempt. The reason is an `Interrupt`, or the error that ends the whole request. */
    readonly controller: AbortController;
    /** Tokens received by earlier attempts, after which this attempt resumes. */
    readonly stream: StreamState;
    /** Time left until the request's deadline in milliseconds, which is sent to the engine. */
    readonly remainingMs: number;
    /** Called immediately before the first byte is sent; `false` aborts the attempt without sending anything. */
    admit(): boolean;
    /**
     * Forwards a token to the caller. Reading from the engine pauses until a returned promise resolves (backpressure).
     */
    deliver(text: string): void | Promise<void>;
}

/** Abort reason that ends the attempt but not its request. */
export class Interrupt extends Error {
    readonly reason: InterruptReason;

    constructor(reason: InterruptReason) {
        super(`attempt interrupted: ${reason}`);
        this.name = "Interrupt";
        this.reason = reason;
    }
}

/** Abort reason of an attempt that made no progress within its limits. */
class ProgressTimeout extends Error {
    constructor() {
        super("no progress on the connection");
        this.name = "ProgressTimeout";
    }
}

/** How an attempt ended. The `kind` is also the reason in the retry metric. */
export type AttemptOutcome =
    | { readonly kind: "finished"; }
    /** The engine answered with a status other than 200. */
    | { readonly kind: "refused"; readonly status: number; readonly message: string; }
    | BrokenAttempt
    | { readonly kind: "interrupted"; readonly reason: InterruptReason; };

/** The attempt failed before the answer was complete. */
export interface BrokenAttempt {
    readonly kind: "broken";
    readonly reason: string;
    /** Whether a byte of the request may have left the host. */
    readonly sent: boolean;
    /** Whether the engine answered with status 200. */
    readonly accepted: boolean;
    /** Whether the attempt timed out without progress: the engine or the connection is unresponsive. */
    readonly silent: boolean;
}

/** Outcome of an attempt and the state of the answer after it. */
export interface AttemptResult {
    readonly outcome: AttemptOutcome;
    /** Tokens received so far, this attempt's included. */
    readonly stream: StreamState;
}

/** Runs the attempt. Rejects only with the error that ends the whole request. */
export async function runAttempt(options: AttemptOptions): Promise<AttemptResult> {
    const run = createAttemptRun(options);
    try {
        const outcome = await sendPrompt(options, run);
        return { outcome, stream: run.stream };
    }
    catch (error) {
        return { outcome: describeFailure(options.controller.signal, run, error), stream: run.stream };
    }
    finally {
        run.watchdog.stop();
    }
}

interface AttemptRun {
    stream: StreamState;
    sent: boolean;
    accepted: boolean;
    readonly watchdog: ProgressWatchdog;
}

function createAttemptRun(options: AttemptOptions): AttemptRun {
    const run: AttemptRun = {
        stream: startStreamAttempt(options.stream, options.attemptId, performance.now()),
        sent: false,
        accepted: false,
        watchdog: createProgressWatchdog(() => {
            options.connections.renew();
            options.controller.abort(new ProgressTimeout());
        }),
    };
    run.watchdog.setDeadline(
        Math.min(performance.now() + options.acceptTimeoutMs, getProgressDeadline(run.stream, options.progressLimits)),
    );
    return run;
}

async function sendPrompt(options: AttemptOptions, run: AttemptRun): Promise<AttemptOutcome> {
    const admit = (): boolean => {
        run.sent = options.admit();
        return run.sent;
    };
    const response = await createGuardedDispatcher(options.connections.getDispatcher(), { admit }).request({
        origin: options.connections.origin,
        method: "POST",
        path: "/v1/generate",
        headers: {
            "content-type": "application/json",
            [callerHeaders.timeout]: String(Math.ceil(options.remainingMs)),
        },
        body: JSON.stringify(options.body),
        signal: options.controller.signal,
    });
    if (response.statusCode !== 200) {
        const message = (await response.body.text()).slice(0, MAX_REFUSAL_MESSAGE_LENGTH);
        return { kind: "refused", status: response.statusCode, message };
    }
    run.accepted = true;
    run.watchdog.setDeadline(getProgressDeadline(run.stream, options.progressLimits));
    return readAnswer(options, run, response);
}

async function readAnswer(
    options: AttemptOptions,
    run: AttemptRun,
    response: Dispatcher.ResponseData,
): Promise<AttemptOutcome> {
    const events = readServerSentEvents(response.body);
    for (;;) {
        const next = await events.next();
        const event = next.done === true ? undefined : parseEvent(options.attemptId, next.value);
        const streamEvent = event?.event ?? { kind: "closed", attemptId: options.attemptId };
        const step = acceptStreamEvent(run.stream, streamEvent, performance.now());
        run.stream = step.state;
        switch (step.decision.kind) {
            case "deliver":
                await forwardToken(options, run, event?.text ?? "");
                break;
            case "drop":
                break;
            case "finish":
                void drainResponse(events, options.controller);
                return { kind: "finished" };
            case "broken":
                // The rest of the stream is not needed. Ending the iteration closes the connection, so that the engine
                // detects it.
                void events.return(undefined).catch(() => undefined);
                return { kind: "broken", reason: step.decision.reason, sent: true, accepted: true, silent: false };
        }
    }
}

/** Forwards a token and sets the next deadline. The time that the caller takes to read does not count. */
async function forwardToken(options: AttemptOptions, run: AttemptRun, text: string): Promise<void> {
    const backpressure = options.deliver(text);
    if (backpressure !== undefined) {
        run.watchdog.pause();
        await backpressure;
        run.stream = { ...run.stream, progressAtMs: performance.now() };
    }
    run.watchdog.setDeadline(getProgressDeadline(run.stream, options.progressLimits));
}

interface ParsedEvent {
    readonly event: StreamEvent;
    readonly text: string;
}

/** Parses the data of a server-sent event. Anything but a token or the terminator counts as a closed connection. */
function parseEvent(attemptId: AttemptId, data: string): ParsedEvent {
    if (data === STREAM_TERMINATOR) {
        return { event: { kind: "terminator", attemptId }, text: "" };
    }
    const parsed = generatedTokenSchema.safeParse(parseJson(data));
    if (!parsed.success) {
        return { event: { kind: "closed", attemptId }, text: "" };
    }
    const { index, text, request_id: requestId } = parsed.data;
    return { event: { kind: "token", attemptId, index, requestId }, text };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Reads the response to its end, so that its connection can be reused for the next request. */
async function drainResponse(events: AsyncGenerator<string>, controller: AbortController): Promise<void> {
    const timer = setTimeout(() => controller.abort(), END_OF_RESPONSE_TIMEOUT_MS);
    try {
        while ((await events.next()).done !== true) {
            // Events after the terminator are ignored.
        }
    }
    catch {
        // The answer is complete; only the connection is lost.
    }
    finally {
        clearTimeout(timer);
    }
}

/** Maps an error to the outcome of the attempt. Throws the abort reason if the whole request has ended. */
function describeFailure(signal: AbortSignal, run: AttemptRun, error: unknown): AttemptOutcome {
    const { reason } = signal as { reason: unknown; };
    if (reason instanceof Interrupt) {
        return { kind: "interrupted", reason: reason.reason };
    }
    const hasTimedOut = reason instanceof ProgressTimeout;
    if (signal.aborted && !hasTimedOut) {
        throw reason;
    }
    const message = error instanceof Error ? error.message : String(error);
    return { kind: "broken", reason: message, sent: run.sent, accepted: run.accepted, silent: hasTimedOut };
}
