/** Sends a request to an endpoint at most once and reports the result through callbacks. */
import type { Dispatcher } from "undici";
import { createBodyReading } from "../model/bodyReading.js";
import { type Connection, type ConnectionPool, MAX_HEAD_BYTES } from "../model/connectionPool.js";

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
    /** No connection could be established, so no byte of the request was sent. */
    | "not_connected"
    /** This host has no descriptor or memory for a connection, which says nothing about the endpoint. */
    | "no_resources"
    /** The connection failed after the request was sent, or carried bytes that are not a response to it. */
    | "broken"
    /** The connection has ended after the request was sent, and not by the endpoint. */
    | "path_lost"
    /** The response exceeds a limit. */
    | "oversized"
    /** The host aborted the attempt. */
    | "aborted";

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

export interface AttemptEvents {
    /** Returns whether the request may still be sent, when the connection is ready for its first byte. */
    readonly canSend?: () => boolean;
    /** Called before the first byte is written. */
    readonly onSent: (connection: Connection) => void;
    /** Receives the response status and headers. Returns `false` if they cannot belong to this request. */
    readonly onResponse: (status: number, headers: ResponseHeaders) => boolean;
    /** Receives a part of the body. Returns `false` if the body exceeds a limit, which ends the attempt as oversized. */
    readonly onData: (chunk: Buffer) => boolean;
    /**
     * Called when the response is complete. `isDelimited`: it has a length or chunks, and does not end with its
     * connection.
     */
    readonly onEnd: (isDelimited: boolean) => void;
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

/**
 * Bytes of chunk framing allowed for each byte of the body. A chunk of one byte has six of them; only an endpoint that
 * sends bytes which are no response exceeds this limit.
 */
const MAX_FRAMING_PER_BODY_BYTE = 16;

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
    let framing: BodyFraming = { isDelimited: false, mayBeEmpty: false };
    let abortReason: string | undefined;
    let isOversized = false;

    const endOnce = (): boolean => {
        if (isSettled) {
            return false;
        }
        isSettled = true;
        connection.onBytesReceived = undefined;
        connection.onEnd = undefined;
        return true;
    };
    const fail = (error: Error): void => {
        if (!endOnce()) {
            return;
        }
        pool.discard(connection);
        const sentFailure = isOversized ? "oversized" : connection.isCut() ? "path_lost" : "broken";
        const unsentFailure = isLackOfResources(error) ? "no_resources" : "not_connected";
        events.onFailure(abortReason !== undefined ? "aborted" : wasSent ? sentFailure : unsentFailure, error);
    };
    const closeWith = (reason: string): void => {
        const error = new Error(reason);
        controller?.abort(error);
        fail(error);
    };
    const failOversized = (reason: string): void => {
        isOversized = true;
        closeWith(reason);
    };
    const finish = (): void => {
        if (!endOnce()) {
            return;
        }
        pool[request.usesNewConnection ? "discard" : "release"](connection);
        events.onEnd(framing.isDelimited);
    };
    const reading = createBodyReading({ ...events, getController: () => controller, onExceeded: failOversized });
    const isMissing = (): boolean => !framing.mayBeEmpty && reading.getBytes() === 0;
    connection.onEnd = () => controller?.resume();
    checkOverhead(connection, reading.getBytes, failOversized);
    connection.client.dispatch(buildDispatchOptions(request), {
        onRequestStart: started => {
            controller = started;
            abortReason ??= events.canSend?.() === false ? "the request can no longer be sent" : undefined;
            if (abortReason !== undefined || wasSent) {
                started.abort(new Error(abortReason ?? "the request has already been sent once"));
                return;
            }
            wasSent = true;
            events.onSent(connection);
        },
        onResponseStart: (started, status, headers) => {
            framing = describeFraming(request.method, status, headers);
            if (status >= 200 && !isSettled && !events.onResponse(status, headers)) {
                started.abort(new Error("the response does not belong to the request"));
            }
        },
        onResponseData: (_controller, chunk) => {
            if (!isSettled) {
                reading.add(chunk);
            }
        },
        onResponseEnd: () => framing.isDelimited ? finish() : checkRegularEnd(connection, isMissing(), finish, fail),
        onResponseError: (_controller, error) => fail(error),
    });
    return {
        abort: reason => {
            abortReason ??= reason;
            closeWith(reason);
        },
        pause: reading.pause,
        resume: reading.resume,
    };
}

/** Errors of the operating system that are about this process or machine. */
const lackOfResourcesCodes: ReadonlySet<string> = new Set(["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]);

/** Returns whether a connection failed because this host lacks something for it. */
export const isLackOfResources = (error: unknown): boolean =>
    lackOfResourcesCodes.has((error as NodeJS.ErrnoException | undefined)?.code ?? "");

/** How the body of a response ends. */
interface BodyFraming {
    /** Whether it has a length or chunks, and does not end with its connection. */
    readonly isDelimited: boolean;
    /** Whether a response without a body is complete. */
    readonly mayBeEmpty: boolean;
}

const NO_CONTENT = 204;
const MIN_UNSUCCESSFUL_STATUS = 300;

const describeFraming = (method: string, status: number, headers: ResponseHeaders): BodyFraming => ({
    isDelimited: headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined,
    mayBeEmpty: status >= MIN_UNSUCCESSFUL_STATUS || status === NO_CONTENT || method === "HEAD",
});

const buildDispatchOptions = (
    { method, target, headers, body }: AttemptRequest,
): Parameters<Dispatcher["dispatch"]>[0] => ({
    method,
    path: target,
    headers: [...headers],
    body: body.length > 0 ? body : null,
    idempotent: false,
});

/**
 * Calls `onExceeded` if the endpoint sends much more than the head and the body of a response. The parser drops status
 * lines, informational responses and chunk extensions, and does not limit their length.
 */
function checkOverhead(connection: Connection, getBodyBytes: () => number, onExceeded: (reason: string) => void): void {
    const bytesBefore = connection.socket?.bytesRead ?? 0;
    connection.onBytesReceived = bytesReceived => {
        // Bytes that are received and not yet parsed, for example while the attempt is paused, may belong to the body.
        const unparsedBytes = connection.socket?.readableLength ?? 0;
        const overheadBytes = bytesReceived - bytesBefore - unparsedBytes - getBodyBytes();
        if (overheadBytes > 2 * MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * getBodyBytes()) {
            onExceeded("the endpoint sends bytes that are not a response");
        }
    };
}

/**
 * Distinguishes the end of a body without a length, which ends only with the connection, from a reset and from the end of
 * a host that relays the connection. If the body is missing, the endpoint may have crashed after the head, which ends its
 * connection in the same way as a regular end.
 */
function checkRegularEnd(
    connection: Connection,
    isMissing: boolean,
    onEnd: () => void,
    onFailure: (error: Error) => void,
): void {
    if (isMissing) {
        onFailure(new Error("connection closed before the first byte of a body without a length"));
        return;
    }
    const { relay, hasSocketError, checkEnd } = connection;
    const check = hasSocketError ? Promise.resolve(false) : checkEnd();
    check.then(
        isEndOfEndpoint =>
            isEndOfEndpoint ? onEnd() : onFailure(
                new Error(
                    relay === undefined
                        ? "connection reset before the response was complete"
                        : `the end of the response is not confirmed by the relaying host ${relay}`,
                ),
            ),
        onFailure,
    );
}
