/** Runs one attempt of a prompt on an engine. */
import {
    acceptStreamEvent,
    getProgressDeadline,
    type ProgressLimits,
    startStreamAttempt,
    type StreamEvent,
    type StreamState,
} from "@currantrill/core";
import { type Connections, readEvents, watchSend } from "@currantrill/http";
import {
    type AttemptId,
    callerHeaders,
    generatedTokenSchema,
    type GenerateRequest,
    STREAM_TERMINATOR,
} from "@currantrill/protocol";
import type { Dispatcher } from "undici";
import { createProgressWatch, type ProgressWatch } from "../model/progressWatch.js";
import type { InterruptReason } from "../model/runningAttempt.js";

const REFUSED_BODY_LIMIT_BYTES = 4_096;
/** Time for the connection to end after the terminator, so that it can be used again. */
const END_LIMIT_MS = 1_000;

export interface AttemptOptions {
    readonly connections: Connections;
    readonly body: GenerateRequest;
    readonly attemptId: AttemptId;
    /** Time within which the engine accepts the prompt, in milliseconds. */
    readonly acceptMs: number;
    readonly limits: ProgressLimits;
    /** Ends the attempt. The reason is an `Interrupt`, or the error with which the whole request ends. */
    readonly controller: AbortController;
    /** State of the answer; the attempt continues it. */
    readonly stream: StreamState;
    /** Time left for the whole answer, which is passed along to the engine. */
    readonly remainingMs: number;
    /** Called immediately before the first byte; `false` gives the attempt up. */
    admit(): boolean;
    /** Takes a token of the answer. A promise holds back the engine until the caller can take more. */
    deliver(text: string): void | Promise<void>;
}

/** Reason of an abort that ends the attempt but not its request. */
export class Interrupt extends Error {
    readonly reason: InterruptReason;

    constructor(reason: InterruptReason) {
        super(`the attempt was interrupted: ${reason}`);
        this.name = "Interrupt";
        this.reason = reason;
    }
}

/** Reason of an abort because a limit on progress has passed. */
class Silence extends Error {
    constructor() {
        super("no progress on the connection");
        this.name = "Silence";
    }
}

export type AttemptOutcome =
    | { readonly kind: "finished"; }
    /** The engine did not take the request. */
    | { readonly kind: "refused"; readonly status: number; readonly message: string; }
    | BrokenAttempt
    | { readonly kind: "interrupted"; readonly reason: InterruptReason; };

/** No answer, or only part of one. */
export interface BrokenAttempt {
    readonly kind: "broken";
    readonly reason: string;
    readonly sent: boolean;
    /** Whether the engine had accepted the prompt. */
    readonly accepted: boolean;
    /** Whether a limit on progress has passed. */
    readonly silent: boolean;
}

export interface AttemptResult {
    readonly outcome: AttemptOutcome;
    readonly stream: StreamState;
}

/** Runs the attempt. Rejects only with the error of the whole request. */
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
        run.watch.stop();
    }
}

interface AttemptRun {
    stream: StreamState;
    sent: boolean;
    accepted: boolean;
    readonly watch: ProgressWatch;
}

function createAttemptRun(options: AttemptOptions): AttemptRun {
    const run: AttemptRun = {
        stream: startStreamAttempt(options.stream, options.attemptId, performance.now()),
        sent: false,
        accepted: false,
        watch: createProgressWatch(() => {
            options.connections.renew();
            options.controller.abort(new Silence());
        }),
    };
    run.watch.expectBy(
        Math.min(performance.now() + options.acceptMs, getProgressDeadline(run.stream, options.limits)),
    );
    return run;
}

async function sendPrompt(options: AttemptOptions, run: AttemptRun): Promise<AttemptOutcome> {
    const admit = (): boolean => {
        run.sent = options.admit();
        return run.sent;
    };
    const response = await watchSend(options.connections.getDispatcher(), { admit }).request({
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
        const message = (await response.body.text()).slice(0, REFUSED_BODY_LIMIT_BYTES);
        return { kind: "refused", status: response.statusCode, message };
    }
    run.accepted = true;
    run.watch.expectBy(getProgressDeadline(run.stream, options.limits));
    return readAnswer(options, run, response);
}

async function readAnswer(
    options: AttemptOptions,
    run: AttemptRun,
    response: Dispatcher.ResponseData,
): Promise<AttemptOutcome> {
    const events = readEvents(response.body);
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
                void endConnection(events, options.controller);
                return { kind: "finished" };
            case "broken":
                // The rest of the stream is of no use; closing the connection tells the engine so.
                void events.return(undefined).catch(() => undefined);
                return { kind: "broken", reason: step.decision.reason, sent: true, accepted: true, silent: false };
        }
    }
}

async function forwardToken(options: AttemptOptions, run: AttemptRun, text: string): Promise<void> {
    const written = options.deliver(text);
    if (written !== undefined) {
        run.watch.pause();
        await written;
        run.stream = { ...run.stream, progressAtMs: performance.now() };
    }
    run.watch.expectBy(getProgressDeadline(run.stream, options.limits));
}

interface ParsedEvent {
    readonly event: StreamEvent;
    readonly text: string;
}

/** An event that is no token counts as the end of the connection. */
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

/** Reads to the end of the response, which frees the connection for the next request. */
async function endConnection(events: AsyncGenerator<string>, controller: AbortController): Promise<void> {
    const timer = setTimeout(() => controller.abort(), END_LIMIT_MS);
    try {
        while ((await events.next()).done !== true) {
            // Events after the terminator are of no interest.
        }
    }
    catch {
        // The answer is complete; only the connection is lost.
    }
    finally {
        clearTimeout(timer);
    }
}

function describeFailure(signal: AbortSignal, run: AttemptRun, error: unknown): AttemptOutcome {
    const { reason } = signal as { reason: unknown; };
    if (reason instanceof Interrupt) {
        return { kind: "interrupted", reason: reason.reason };
    }
    const silent = reason instanceof Silence;
    if (signal.aborted && !silent) {
        throw reason;
    }
    const message = error instanceof Error ? error.message : String(error);
    return { kind: "broken", reason: message, sent: run.sent, accepted: run.accepted, silent };
}
