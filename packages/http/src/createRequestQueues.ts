import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createWaitingLimit } from "./createWaitingLimit.js";

/**
 * Waiting requests of a connection at which reading from it stops. Below it reading goes on, since a connection that is not
 * read does not report that its caller has closed it. The bytes of one read, up to 64 KiB, may exceed the limit.
 */
const MAX_WAITING_REQUESTS = 16;

/**
 * Limit on the waiting requests of all connections of a server. Node.js keeps the objects of a request from its arrival:
 * 19,000 of them take 84 MB, and 113,000 short ones of 50 connections exceeded a heap of 200 MB.
 */
const MAX_WAITING_REQUESTS_OF_SERVER = 16_384;

export type BeginRequest = (request: IncomingMessage, response: ServerResponse) => void;

export interface RequestQueues {
    /**
     * Begins a request once the responses to all earlier requests of its connection have been sent. It is never begun if the
     * connection ends before that. If too many requests wait, the connection with most of them is closed.
     */
    readonly enqueue: (request: IncomingMessage, response: ServerResponse, begin: BeginRequest) => void;
    /** Returns the number of requests that wait or have been begun. */
    readonly countPending: () => number;
}

interface WaitingRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly begin: BeginRequest;
}

interface RequestQueue {
    readonly socket: Socket;
    readonly waiting: WaitingRequest[];
    /** Whether a request has been begun and its response has not been sent. */
    isBusy: boolean;
    isMonitored: boolean;
}

/**
 * Creates the queues of a server's connections, of which each has one request in progress. Node.js emits `request` for all
 * pipelined requests at once, and `close` only for the response whose turn it is: the others would not learn that their
 * connection has closed.
 */
export function createRequestQueues(): RequestQueues {
    const queues = new WeakMap<Socket, RequestQueue>();
    const waitingLimit = createWaitingLimit<RequestQueue>(MAX_WAITING_REQUESTS_OF_SERVER);
    let pendingCount = 0;

    function beginRequest(queue: RequestQueue, { request, response, begin }: WaitingRequest): void {
        queue.isBusy = true;
        response.once("close", () => {
            pendingCount -= 1;
            if (queue.waiting.length === 0) {
                queue.isBusy = false;
                return;
            }
            // Other connections get their turn, and a closed connection is noticed, before the next request is begun.
            setImmediate(beginNext, queue);
        });
        begin(request, response);
    }

    function beginNext(queue: RequestQueue): void {
        queue.isBusy = false;
        if (!canRespond(queue.waiting[0])) {
            dropWaiting(queue);
            return;
        }
        const next = queue.waiting.shift();
        if (next !== undefined) {
            waitingLimit.remove(queue, 1);
            if (queue.waiting.length === MAX_WAITING_REQUESTS - 1) {
                queue.socket.resume();
            }
            beginRequest(queue, next);
        }
    }

    function dropWaiting(queue: RequestQueue): void {
        const dropped = queue.waiting.splice(0);
        pendingCount -= dropped.length;
        waitingLimit.remove(queue, dropped.length);
    }

    function addWaiting(queue: RequestQueue, entry: WaitingRequest): void {
        pendingCount += 1;
        queue.waiting.push(entry);
        if (!queue.isMonitored) {
            monitorConnection(queue);
        }
        stopReading(queue);
        const excess = waitingLimit.add(queue);
        if (excess !== undefined) {
            excess.socket.destroy();
            dropWaiting(excess);
        }
    }

    function monitorConnection(queue: RequestQueue): void {
        queue.isMonitored = true;
        const drop = (): void => dropWaiting(queue);
        // Node.js ends a connection that its caller has half-closed.
        queue.socket.once("end", drop);
        queue.socket.once("close", drop);
        // Reading the body of a request resumes its connection.
        queue.socket.on("resume", () => stopReading(queue));
    }

    return {
        countPending: () => pendingCount,
        enqueue: (request, response, begin) => {
            const { socket } = request;
            let queue = queues.get(socket);
            if (queue === undefined) {
                queue = { socket, waiting: [], isBusy: false, isMonitored: false };
                queues.set(socket, queue);
            }
            const entry = { request, response, begin };
            if (!queue.isBusy && canRespond(entry)) {
                pendingCount += 1;
                beginRequest(queue, entry);
            }
            else if (queue.isBusy && socket.writable) {
                addWaiting(queue, entry);
            }
            else {
                // The connection ends with an earlier response. Further requests would only occupy memory.
                socket.pause();
            }
        },
    };
}

/** A response has no socket if the one before it ends the connection. */
const canRespond = (entry: WaitingRequest | undefined): boolean => entry?.response.socket?.writable === true;

function stopReading({ socket, waiting }: RequestQueue): void {
    if (waiting.length >= MAX_WAITING_REQUESTS) {
        socket.pause();
    }
}
