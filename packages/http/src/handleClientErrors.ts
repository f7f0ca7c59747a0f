import type { Server } from "node:http";
import type { Duplex } from "node:stream";
import type { RequestQueues } from "./createRequestQueues.js";

/** The caller has closed its side in the middle of a request. Node.js ends such connections at once. */
const HALF_CLOSED = "HPE_INVALID_EOF_STATE";
const REQUEST_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";

/** Error of the HTTP parser or of the connection. */
export type ClientError = Error & { code?: string; };

export interface ClientErrorOptions {
    readonly queues: RequestQueues;
    /** Time limit for receiving a complete request, in milliseconds. */
    readonly requestTimeoutMs: number;
    /** Sends the error response and ends the connection. */
    readonly fail: (error: ClientError, socket: Duplex) => void;
}

/**
 * Fails a request that is malformed or late in its turn. The error response would otherwise be taken for the response to an
 * earlier request of the connection.
 */
export function handleClientErrors(server: Server, { queues, requestTimeoutMs, fail }: ClientErrorOptions): void {
    /** Node.js reports a late request once. Its time limit is applied again from when earlier requests have been answered. */
    function handleTimeout(error: ClientError, socket: Duplex, received: number, wasBehind: boolean): void {
        if (socket.destroyed || queues.countReceived(socket) !== received) {
            return;
        }
        const isBehind = queues.hasPending(socket);
        if (!isBehind && !wasBehind) {
            fail(error, socket);
            return;
        }
        setTimeout(handleTimeout, requestTimeoutMs, error, socket, received, isBehind).unref();
    }

    server.on("clientError", (error: ClientError, socket) => {
        if (error.code === REQUEST_TIMEOUT) {
            handleTimeout(error, socket, queues.countReceived(socket), false);
        }
        else if (error.code?.startsWith("HPE_") === true && error.code !== HALF_CLOSED) {
            queues.failAfterPending(socket, () => fail(error, socket));
        }
        else {
            fail(error, socket);
        }
    });
}
