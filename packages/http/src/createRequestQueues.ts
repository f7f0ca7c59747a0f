import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createWaitingLimit, type WaitingLimit } from "./createWaitingLimit.js";

/**
 * Waiting requests of a connection at which reading from it stops. Below it reading goes on, since a connection that is not
 * read does not report that its caller has closed it. The bytes of one read, up to 64 KiB, may exceed the limit.
 */
const MAX_WAITING_REQUESTS = 16;

/**
 * Limit on the memory of the waiting requests of all connections of a server, beside a heap of 200 MB. 16,384 requests with
 * a head of 29 bytes fit into it.
 */
const MAX_WAITING_BYTES_OF_SERVER = 72 * 1024 * 1024;
/** Node.js keeps the objects of a request from its arrival: 19,000 short requests take 84 MB. */
const REQUEST_OVERHEAD_BYTES = 4_550;
/** Most bytes of a body that are kept before it is read: those of one read. */
const MAX_UNREAD_BODY_BYTES = 64 * 1024;

export type BeginRequest = (request: IncomingMessage, response: ServerResponse) => void;

export interface RequestQueues {
    /**
     * Begins a request once the responses to all earlier requests of its connection have been sent. It is never begun if the
     * connection ends before that. If waiting requests occupy too much memory, the connection with most of it is closed.
     */
    readonly enqueue: (request: IncomingMessage, response: ServerResponse, begin: BeginRequest) => void;
    /**
     * Calls `fail` once the requests of the connection that have been received in full are answered, at once if there are none.
     * A request whose body is incomplete is not begun.
     */
    readonly failAfterPending: (socket: Duplex, fail: () => void) => void;
    /** Returns the number of requests of the connection that have been received in full. */
    readonly countReceived: (socket: Duplex) => number;
    /** Returns whether a request that has been received in full is in progress or waits. */
    readonly hasPending: (socket: Duplex) => boolean;
    /** Returns whether a request of the connection waits. */
    readonly hasWaiting: (socket: Duplex) => boolean;
    /** Returns the number of requests that wait or have been begun. */
    readonly countPending: () => number;
}

interface WaitingRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly begin: BeginRequest;
}

/** A request in a queue, with the memory that it may occupy until it is begun. */
interface QueuedRequest extends WaitingRequest {
    readonly bytes: number;
}

interface RequestQueue {
    readonly socket: Socket;
    readonly waiting: QueuedRequest[];
    /** Memory of the waiting requests. */
    waitingBytes: number;
    /** Whether a request has been begun and its response has not been sent. */
    isBusy: boolean;
    isMonitored: boolean;
    /** Request whose head was received last, until its response has been sent. */
    last: IncomingMessage | undefined;
    /** Number of requests whose head has been received. */
    receivedCount: number;
    /** Called once no request is in progress or waits. */
    onIdle: (() => void) | undefined;
}

/** State of all connections of a server. */
interface ServerState {
    readonly queues: WeakMap<Duplex, RequestQueue>;
    readonly waitingLimit: WaitingLimit<RequestQueue>;
    pendingCount: number;
}

/**
 * Creates the queues of a server's connections, of which each has one request in progress. Node.js emits `request` for all
 * pipelined requests at once, and `close` only for the response whose turn it is: the others would not learn that their
 * connection has closed.
 */
export function createRequestQueues(): RequestQueues {
    const queues = new WeakMap<Duplex, RequestQueue>();
    const state: ServerState = {
        queues,
        waitingLimit: createWaitingLimit(MAX_WAITING_BYTES_OF_SERVER),
        pendingCount: 0,
    };
    return {
        enqueue: (request, response, begin) => enqueueRequest(state, { request, response, begin }),
        failAfterPending: (socket, fail) => failAfterPending(state, queues.get(socket), fail),
        countReceived: socket => countReceivedRequests(queues.get(socket)),
        hasPending: socket => hasPendingRequest(queues.get(socket)),
        hasWaiting: socket => (queues.get(socket)?.waiting.length ?? 0) > 0,
        countPending: () => state.pendingCount,
    };
}

function enqueueRequest(state: ServerState, entry: WaitingRequest): void {
    const { socket } = entry.request;
    const queue = state.queues.get(socket) ?? createQueue(socket);
    state.queues.set(socket, queue);
    queue.last = entry.request;
    queue.receivedCount += 1;
    if (!queue.isBusy && canRespond(entry)) {
        state.pendingCount += 1;
        beginRequest(state, queue, entry);
    }
    else if (queue.isBusy && socket.writable) {
        addWaiting(state, queue, entry);
    }
    else {
        // The connection ends with an earlier response. Further requests would only occupy memory.
        socket.pause();
    }
}

function beginRequest(state: ServerState, queue: RequestQueue, { request, response, begin }: WaitingRequest): void {
    queue.isBusy = true;
    response.once("close", () => {
        state.pendingCount -= 1;
        if (queue.last === request) {
            // An idle connection would keep the body in memory.
            queue.last = undefined;
        }
        if (queue.waiting.length > 0) {
            // Other connections get their turn, and a closed connection is noticed, before the next request is begun.
            setImmediate(beginNext, state, queue);
            return;
        }
        queue.isBusy = false;
        if (queue.socket.writable) {
            queue.onIdle?.();
        }
    });
    begin(request, response);
}

function beginNext(state: ServerState, queue: RequestQueue): void {
    queue.isBusy = false;
    if (!canRespond(queue.waiting[0])) {
        dropWaiting(state, queue);
        return;
    }
    const next = queue.waiting.shift();
    if (next !== undefined) {
        releaseWaiting(state, queue, next.bytes);
        if (queue.waiting.length === MAX_WAITING_REQUESTS - 1) {
            queue.socket.resume();
        }
        beginRequest(state, queue, next);
    }
}

function addWaiting(state: ServerState, queue: RequestQueue, entry: WaitingRequest): void {
    state.pendingCount += 1;
    const bytes = estimateBytes(entry.request);
    queue.waiting.push({ ...entry, bytes });
    queue.waitingBytes += bytes;
    if (!queue.isMonitored) {
        monitorConnection(state, queue);
    }
    stopReading(queue);
    const excess = state.waitingLimit.add(queue, bytes);
    if (excess !== undefined) {
        excess.socket.destroy();
        dropWaiting(state, excess);
    }
}

function monitorConnection(state: ServerState, queue: RequestQueue): void {
    queue.isMonitored = true;
    const drop = (): void => dropWaiting(state, queue);
    // Node.js ends a connection that its caller has half-closed.
    queue.socket.once("end", drop);
    queue.socket.once("close", drop);
    // Reading the body of a request resumes its connection.
    queue.socket.on("resume", () => stopReading(queue));
}

function stopReading({ socket, waiting }: RequestQueue): void {
    if (waiting.length >= MAX_WAITING_REQUESTS) {
        socket.pause();
    }
}

function dropWaiting(state: ServerState, queue: RequestQueue): void {
    const dropped = queue.waiting.splice(0);
    state.pendingCount -= dropped.length;
    releaseWaiting(state, queue, queue.waitingBytes);
}

function releaseWaiting({ waitingLimit }: ServerState, queue: RequestQueue, bytes: number): void {
    queue.waitingBytes -= bytes;
    waitingLimit.remove(queue, bytes);
}

/** A body without a stated length counts as the bytes of one read. */
function estimateBytes({ rawHeaders, url = "", headers }: IncomingMessage): number {
    const headBytes = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
    const statedBytes = headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : Infinity;
    return REQUEST_OVERHEAD_BYTES + headBytes + Math.min(statedBytes, MAX_UNREAD_BODY_BYTES);
}

function failAfterPending(state: ServerState, queue: RequestQueue | undefined, fail: () => void): void {
    if (queue === undefined) {
        fail();
        return;
    }
    // The parser reports its error again for each later read.
    if (queue.onIdle !== undefined) {
        return;
    }
    if (!hasPendingRequest(queue)) {
        fail();
        return;
    }
    if (isIncomplete(queue) && queue.waiting.at(-1)?.request === queue.last) {
        releaseWaiting(state, queue, queue.waiting.pop()?.bytes ?? 0);
        state.pendingCount -= 1;
    }
    queue.onIdle = fail;
}

const createQueue = (socket: Socket): RequestQueue => ({
    socket,
    waiting: [],
    waitingBytes: 0,
    isBusy: false,
    isMonitored: false,
    last: undefined,
    receivedCount: 0,
    onIdle: undefined,
});

const isIncomplete = ({ last }: RequestQueue): boolean => last?.complete === false;

const countReceivedRequests = (queue: RequestQueue | undefined): number =>
    queue === undefined ? 0 : queue.receivedCount - (isIncomplete(queue) ? 1 : 0);

/** The request whose body is incomplete can only be the last one. */
const hasPendingRequest = (queue: RequestQueue | undefined): boolean =>
    queue !== undefined && queue.isBusy && (queue.waiting.length > 0 || !isIncomplete(queue));

/** A response has no socket if the one before it ends the connection. */
const canRespond = (entry: WaitingRequest | undefined): boolean => entry?.response.socket?.writable === true;
