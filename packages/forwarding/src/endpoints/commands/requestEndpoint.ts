/** Calls of the host's own to an endpoint: orders and reports. */
import type { EndpointCall } from "../../ports/endpointProtocol.js";
import type { ConnectionPool } from "../model/connectionPool.js";
import { sendAttempt } from "./sendAttempt.js";

export interface EndpointReply {
    readonly status: number;
    readonly body: Buffer;
}

/** Sends a call and reads its reply. Rejects if none arrives in time; the call may then have been carried out. */
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
            isFresh: false,
        }, {
            onSent: () => undefined,
            onAnswer: answered => {
                status = answered;
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
