/** Requests that the host itself makes to an endpoint: reservation orders and probes. */
import { createByteBuffer } from "@currantrill/http";
import type { EndpointCall, EndpointNotice, EndpointProtocol } from "../../ports/endpointProtocol.js";
import type { Connection, ConnectionPool } from "../model/connectionPool.js";
import { startTimeout } from "../model/startTimeout.js";
import { sendAttempt } from "./sendAttempt.js";

export interface EndpointReply {
    readonly status: number;
    readonly body: Buffer;
}

/** Limit on a reply. Reports and replies to orders have a few hundred bytes. */
const MAX_REPLY_BYTES = 65_536;

export interface EndpointRequestOptions {
    readonly timeoutMs: number;
    readonly protocol: EndpointProtocol;
    /** See `AttemptRequest`. Defaults to `false`. */
    readonly usesNewConnection?: boolean;
    /** See `AttemptEvents`. The request rejects if it may not be sent. */
    readonly canSend?: () => boolean;
    /** See `AttemptEvents`. */
    readonly onSent?: (connection: Connection) => void;
    /** Called with what the endpoint states about itself in its reply. */
    readonly onNotice?: (notice: EndpointNotice) => void;
}

/**
 * Sends a request and reads the complete reply. Rejects if none arrives within `timeoutMs`; the endpoint may still have
 * carried out the request.
 */
export function requestEndpoint(
    pool: ConnectionPool,
    call: EndpointCall,
    options: EndpointRequestOptions,
): Promise<EndpointReply> {
    const { timeoutMs, protocol, usesNewConnection = false, canSend = () => true, onSent = () => undefined, onNotice } =
        options;
    return new Promise((resolve, reject) => {
        const reply = createByteBuffer({ maxBytes: MAX_REPLY_BYTES });
        let status = 0;
        const cancelTimeout = startTimeout(timeoutMs, () => attempt.abort(`no reply within ${timeoutMs} ms`));
        const attempt = sendAttempt(pool, {
            method: call.method,
            target: call.path,
            headers: call.body === undefined ? [] : ["content-type", "application/json"],
            body: Buffer.from(call.body ?? ""),
            usesNewConnection,
        }, {
            canSend,
            onSent,
            onResponse: (responseStatus, headers) => {
                status = responseStatus;
                // A response with a request id answers a caller's request: an endpoint may send one a second time, late,
                // on a connection that is in use again.
                const { requestId = "", isMisdirected, notice } = protocol.parseResponse(responseStatus, headers);
                if (requestId === "" && !isMisdirected) {
                    onNotice?.(notice);
                }
                return requestId === "";
            },
            onData: reply.append,
            onEnd: () => {
                cancelTimeout();
                resolve({ status, body: reply.read() });
            },
            onFailure: (_failure, error) => {
                cancelTimeout();
                reject(error);
            },
        });
    });
}
