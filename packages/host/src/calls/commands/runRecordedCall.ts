/**
 * Runs calls that must be executed at most once. Drives the call state machine of the core, which records each call in
 * the platform's store before it is sent.
 */
import {
    advanceCall,
    beginCall,
    type CallEffect,
    type CallEvent,
    type CallResult,
    type CallRow,
    CALLS_TABLE,
    type CallState,
    type CallStep,
    canSendCall,
    formatCallKey,
    type SendLimit,
    type StoredAnswer,
} from "@currantrill/core";
import { createHttpConnectionPool } from "@currantrill/http";
import { readClocks } from "@currantrill/protocol";
import type { AttemptId, EndpointId, IdempotencyKey, JsonValue } from "@currantrill/protocol";
import { isStoreUnavailable } from "@currantrill/store";
import { CallerError } from "../../callers/model/callerError.js";
import { getRemainingMs } from "../../callers/model/requestScope.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import type { ServiceAnswer, ServiceCall } from "../model/serviceCall.js";
import { computeFingerprint } from "../queries/computeFingerprint.js";
import { chooseServiceEndpoint } from "./chooseServiceEndpoint.js";
import { sendCall, type SendCallResult } from "./sendCall.js";

/** Bodies are stored as text with one character per byte, which preserves arbitrary bytes. */
const BODY_ENCODING = "latin1";

/** A running call: its state machine, and what is needed to carry out the effects of the state machine. */
interface CallRun {
    readonly context: HostContext;
    readonly call: ServiceCall;
    state: CallState;
    /** Aborts the request to the service when the state machine has ended. */
    readonly controller: AbortController;
    readonly timers: Set<NodeJS.Timeout>;
    /** Resolves the caller's promise. */
    readonly answer: (result: CallResult) => void;
    /** Resolves the promise in `openCalls`, once the last write is confirmed. */
    readonly end: () => void;
}

/**
 * Resolves with the response to this call, or with the stored response of an earlier call with the same idempotency
 * key. Rejects with a `CallerError` whose outcome says whether the call may have been executed. The call continues if
 * the caller disconnects, so that a duplicate finds its response.
 */
export async function runRecordedCall(
    context: HostContext,
    call: ServiceCall,
    idempotencyKey: IdempotencyKey,
): Promise<ServiceAnswer> {
    const request = {
        rowKey: formatCallKey({
            workspace: call.scope.workspace.name,
            service: call.service.name,
            operation: call.operation,
            idempotencyKey,
        }),
        attempt: createAttemptId(),
        fingerprint: computeFingerprint(call),
        timeoutMs: getRemainingMs(call.scope),
    };
    const result = await new Promise<CallResult>(answer => {
        const step = beginCall(request, readClocks());
        const ended = new Promise<void>(end => {
            const run = {
                context,
                call,
                state: step.state,
                controller: new AbortController(),
                timers: new Set<NodeJS.Timeout>(),
                answer,
                end,
            };
            applyStep(run, step);
        });
        context.openCalls.add(ended);
        void ended.finally(() => context.openCalls.delete(ended));
    });
    if (result.outcome === "answered") {
        return restoreAnswer(result.answer);
    }
    throw new CallerError(result.code, { outcome: result.outcome });
}

/** Stores the new state of the call and starts the effects of the step. */
function applyStep(run: CallRun, step: CallStep): void {
    run.state = step.state;
    step.effects.forEach(effect => runEffect(run, effect));
}

/** Starts an effect. Its event is always delivered asynchronously, even if the result is known immediately. */
function runEffect(run: CallRun, effect: CallEffect): void {
    switch (effect.type) {
        case "answerCaller":
            run.answer(effect.result);
            return;
        case "end":
            run.timers.forEach(timer => clearTimeout(timer));
            run.controller.abort(new Error("aborted: the call has ended"));
            run.end();
            return;
        case "wait": {
            const timer = setTimeout(() => {
                run.timers.delete(timer);
                advance(run, { type: "timerFired", operation: effect.operation });
            }, effect.delayMs);
            run.timers.add(timer);
            return;
        }
        case "writeRow":
        case "readRow":
        case "writeObject":
        case "readObject":
        case "sendCall":
            void runOperation(run, effect).then(event => advance(run, event));
    }
}

const advance = (run: CallRun, event: CallEvent): void => applyStep(run, advanceCall(run.state, event, readClocks()));

/** Effects that are answered by one event when their I/O is complete. */
type OperationEffect = Exclude<CallEffect, { type: "answerCaller" | "end" | "wait"; }>;

/** Performs the I/O of an effect on the platform or the service. Never rejects: failures are events. */
function runOperation(run: CallRun, effect: OperationEffect): Promise<CallEvent> {
    switch (effect.type) {
        case "writeRow":
            return writeRow(run, effect);
        case "readRow":
            return readRow(run, effect);
        case "writeObject":
            return writeObject(run, effect);
        case "readObject":
            return readObject(run, effect);
        case "sendCall":
            return sendToService(run, effect);
    }
}

type EffectOfType<T extends CallEffect["type"]> = Extract<CallEffect, { type: T; }>;

async function writeRow(run: CallRun, { operation, key, version, row }: EffectOfType<"writeRow">): Promise<CallEvent> {
    try {
        const result = await run.context.tables.transact({
            attemptId: run.state.request.attempt,
            conditions: [{ table: CALLS_TABLE, key, version }],
            writes: [{ table: CALLS_TABLE, key, value: row as unknown as JsonValue }],
        });
        const writtenVersion = result.committed ? result.versions[`${CALLS_TABLE}/${key}`] : undefined;
        return writtenVersion === undefined
            ? { type: result.committed ? "writeLost" : "rowConflict", operation }
            : { type: "rowWritten", operation, version: writtenVersion };
    }
    catch (error) {
        return { type: isStoreUnavailable(error) ? "writeRefused" : "writeLost", operation };
    }
}

async function readRow(run: CallRun, { operation, key }: EffectOfType<"readRow">): Promise<CallEvent> {
    try {
        const found = await run.context.tables.readRow(CALLS_TABLE, key);
        const row = found?.value as unknown as CallRow | undefined;
        return {
            type: "rowRead",
            operation,
            found: found === undefined || row === undefined ? undefined : { version: found.version, row },
        };
    }
    catch {
        return { type: "readFailed", operation };
    }
}

async function writeObject(run: CallRun, { operation, key, answer }: EffectOfType<"writeObject">): Promise<CallEvent> {
    try {
        await run.context.objects.writeObject(key, JSON.stringify(answer));
        return { type: "objectWritten", operation };
    }
    catch {
        return { type: "objectFailed", operation };
    }
}

async function readObject(run: CallRun, { operation, key }: EffectOfType<"readObject">): Promise<CallEvent> {
    try {
        const text = await run.context.objects.readObject(key);
        return text === undefined
            ? { type: "objectFailed", operation }
            : { type: "objectRead", operation, answer: JSON.parse(text) as StoredAnswer };
    }
    catch {
        return { type: "objectFailed", operation };
    }
}

/**
 * Tries one endpoint after another until a byte is sent. From then on the call is not retried: it may have been
 * executed.
 */
async function sendToService(
    run: CallRun,
    { operation, attempt, limit }: EffectOfType<"sendCall">,
): Promise<CallEvent> {
    const triedEndpoints = new Set<EndpointId>();
    for (;;) {
        const endpoint = chooseServiceEndpoint(run.context, run.call, triedEndpoints);
        if (endpoint === undefined || !canSendCall(limit, readClocks())) {
            return { type: "callFailed", operation, bytesSent: false };
        }
        triedEndpoints.add(endpoint.name);
        const endCall = run.context.services.begin(endpoint.name);
        const result = await sendOverNewConnection(run, endpoint, attempt, limit).finally(endCall);
        if (result.kind === "answered") {
            return { type: "callAnswered", operation, answer: buildStoredAnswer(result.answer) };
        }
        run.context.services.markSuspect(endpoint.name);
        run.context.log.warn(
            { attempt, endpoint: endpoint.name, err: result.error },
            "calls: attempt on endpoint failed",
        );
        if (result.bytesSent) {
            return { type: "callFailed", operation, bytesSent: true };
        }
    }
}

/**
 * Sends the call over a new connection. The peer may close a pooled keep-alive connection just as the call is sent,
 * which would leave the outcome unknown.
 */
async function sendOverNewConnection(
    run: CallRun,
    endpoint: { readonly url: string; readonly name: EndpointId; },
    attemptId: AttemptId,
    limit: SendLimit,
): Promise<SendCallResult> {
    const connections = createHttpConnectionPool(new URL(endpoint.url).origin);
    try {
        return await sendCall(run.call, {
            connections,
            attemptId,
            signal: run.controller.signal,
            admit: () => canSendCall(limit, readClocks()) && run.context.lending.isUsable(endpoint.name),
        });
    }
    finally {
        void connections.close();
    }
}

const buildStoredAnswer = (answer: ServiceAnswer): StoredAnswer => ({
    status: answer.status,
    contentType: String(answer.headers["content-type"] ?? ""),
    body: answer.body.toString(BODY_ENCODING),
});

const restoreAnswer = (answer: StoredAnswer): ServiceAnswer => ({
    status: answer.status,
    headers: answer.contentType === "" ? {} : { "content-type": answer.contentType },
    body: Buffer.from(answer.body, BODY_ENCODING),
});
