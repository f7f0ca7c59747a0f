/** Requests that the host itself makes to an endpoint: reservation orders and probes. */
import type { EndpointCall } from "../../ports/endpointProtocol.js";
import type { ConnectionPool } from "../model/connectionPool.js";
import { sendAttempt } from "./sendAttempt.js";

export interface EndpointReply {
    readonly status: number;
    readonly body: Buffer;
}

/**
 * Sends a request and reads the complete reply. Rejects if none arrives within `timeoutMs`; the endpoint may still have
 * carried out the request.
 */
export function requestEndpoint(pool: ConnectionPool, call: EndpointCall, timeoutMs: number): Promise<EndpointReply> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let status = 0;
        const timer = setTimeout(() => attempt.abort(`no reply within ${timeoutMs} ms`), timeoutMs);
        const attempt = sendAttempt(pool, {
            method: call.method,
            target: call.path,
            headers: call.body === undefined ? [] : ["content-type", "application/json"],
            body: Buffer.from(call.body ?? ""),
            usesNewConnection: false,
        }, {
            onSent: () => undefined,
            onResponse: responseStatus => {
                status = responseStatus;
                return true;
            },
            onData: chunk => void chunks.push(chunk),
            onEnd: () => {
                clearTimeout(timer);
                resolve({ status, body: Buffer.concat(chunks) });
            },
            onFailure: (_failure, error) => {
                clearTimeout(timer);
                reject(error);
            },
        });
    });
}
