/** Sends a request to an endpoint once and reports what happens. */
import type { Dispatcher } from "undici";
import { checkReset, type ConnectionPool } from "../model/connectionPool.js";

/** How a send ended without a whole answer. */
export type SendFailure =
    /** No connection existed, so no byte of the request was sent. */
    | "not_connected"
    /** The connection ended, or carried bytes that are no answer to the request. */
    | "broken"
    /** The host gave the request up. */
    | "aborted";

export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

export interface AttemptEvents {
    /** The first byte is about to be written. */
    readonly onSent: () => void;
    /** Return `false` for headers that cannot belong to this request. */
    readonly onAnswer: (status: number, headers: AnswerHeaders) => boolean;
    readonly onData: (chunk: Buffer) => unknown;
    /** The answer is whole. */
    readonly onEnd: () => void;
    readonly onFailure: (failure: SendFailure, error: Error) => void;
}

export interface AttemptRequest {
    readonly method: string;
    readonly target: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Uses a new connection, on which a failure before the first byte is certain and no late answer can arrive. */
    readonly isFresh: boolean;
}

export interface RunningAttempt {
    /** Ends the attempt by closing its connection, which tells the endpoint to stop. */
    readonly abort: (reason: string) => void;
    readonly pause: () => void;
    readonly resume: () => void;
}

/** Starts an attempt. Exactly one of `onEnd` and `onFailure` is called, unless the send throws. */
export function sendAttempt(pool: ConnectionPool, request: AttemptRequest, events: AttemptEvents): RunningAttempt {
    const connection = pool.take(request.isFresh);
    let controller: Dispatcher.DispatchController | undefined;
    let wasSent = false;
    let isSettled = false;
    let isFramed = false;
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
        pool[request.isFresh ? "discard" : "give"](connection);
        events.onEnd();
    };
    const handleEnd = (): void => {
        if (isFramed) {
            finish();
            return;
        }
        // Only the end of the connection ends such a body, and a reset must not be taken for it.
        checkReset(connection).then(
            wasReset => wasReset ? fail(new Error("the connection was reset before the answer was whole")) : finish(),
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
                started.abort(new Error(abortReason ?? "a request is sent once"));
                return;
            }
            wasSent = true;
            events.onSent();
        },
        onResponseStart: (started, status, headers) => {
            isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
            if (status >= 200 && !isSettled && !events.onAnswer(status, headers)) {
                started.abort(new Error("the answer does not belong to the request"));
            }
        },
        onResponseData: (_controller, chunk) => {
            if (!isSettled) {
                events.onData(chunk);
            }
        },
        onResponseEnd: handleEnd,
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
