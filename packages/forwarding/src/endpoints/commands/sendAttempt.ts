/** Sends a request to an endpoint at most once and reports the result through callbacks. */
import type { Dispatcher } from "undici";
import { type ConnectionPool, detectReset } from "../model/connectionPool.js";

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
    /** No connection could be established, so no byte of the request was sent. */
    | "not_connected"
    /** The connection failed after the request was sent, or carried bytes that are not a response to it. */
    | "broken"
    /** The host aborted the attempt. */
    | "aborted";

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

export interface AttemptEvents {
    /** Called before the first byte of the request is written. */
    readonly onSent: () => void;
    /** Receives the response status and headers. Returns `false` if they cannot belong to this request. */
    readonly onResponse: (status: number, headers: ResponseHeaders) => boolean;
    readonly onData: (chunk: Buffer) => unknown;
    /** Called when the response is complete. */
    readonly onEnd: () => void;
    readonly onFailure: (failure: AttemptFailure, error: Error) => void;
}

export interface AttemptRequest {
    readonly method: string;
    readonly target: string;
    /** Header names and values, alternating. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /**
     * Uses a new connection instead of a pooled one. It is then certain whether a failure occurred before the first
     * byte, and no late response to an earlier request can arrive.
     */
    readonly usesNewConnection: boolean;
}

/** Controls an attempt in progress. */
export interface RunningAttempt {
    /** Aborts the attempt by closing its connection, which makes the endpoint stop working on the request. */
    readonly abort: (reason: string) => void;
    /** Stops reading the response, until `resume` is called. */
    readonly pause: () => void;
    readonly resume: () => void;
}

/** Starts an attempt. Exactly one of `onEnd` and `onFailure` is called, unless this function throws. */
export function sendAttempt(pool: ConnectionPool, request: AttemptRequest, events: AttemptEvents): RunningAttempt {
    const connection = pool.acquire(request.usesNewConnection);
    let controller: Dispatcher.DispatchController | undefined;
    let wasSent = false;
    let isSettled = false;
    let hasExplicitLength = false;
    let abortReason: string | undefined;

    const fail = (error: Error): void => {
        if (isSettled) {
            return;
        }
        isSettled = true;
        pool.discard(connection);
        events.onFailure(abortReason !== undefined ? "aborted" : wasSent ? "broken" : "not_connected", error);
    };
    const finish = (): void => {
        if (isSettled) {
            return;
        }
        isSettled = true;
        pool[request.usesNewConnection ? "discard" : "release"](connection);
        events.onEnd();
    };
    const handleResponseEnd = (): void => {
        if (hasExplicitLength) {
            finish();
            return;
        }
        // Such a body ends only with the connection, and a reset must not be mistaken for a regular end.
        detectReset(connection).then(
            hasBeenReset =>
                hasBeenReset ? fail(new Error("connection reset before the response was complete")) : finish(),
            fail,
        );
    };
    connection.client.dispatch({
        method: request.method,
        path: request.target,
        headers: [...request.headers],
        body: request.body.length > 0 ? request.body : null,
        idempotent: false,
    }, {
        onRequestStart: started => {
            controller = started;
            if (abortReason !== undefined || wasSent) {
                started.abort(new Error(abortReason ?? "the request has already been sent once"));
                return;
            }
            wasSent = true;
            events.onSent();
        },
        onResponseStart: (started, status, headers) => {
            hasExplicitLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
            if (status >= 200 && !isSettled && !events.onResponse(status, headers)) {
                started.abort(new Error("the response does not belong to the request"));
            }
        },
        onResponseData: (_controller, chunk) => {
            if (!isSettled) {
                events.onData(chunk);
            }
        },
        onResponseEnd: handleResponseEnd,
        onResponseError: (_controller, error) => fail(error),
    });
    return {
        abort: reason => {
            abortReason ??= reason;
            const error = new Error(reason);
            if (controller === undefined) {
                fail(error);
                return;
            }
            controller.abort(error);
            fail(error);
        },
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
    };
}
