import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { ByteBudget } from "./byteBudget.js";
import { closeConnection, recordCloseCause } from "./closeConnection.js";
import { resumeConnection } from "./resumeConnection.js";

/**
 * Waiting requests of a connection at which reading from it stops. Below it reading goes on, since a connection that is not
 * read does not report that its caller has closed it. The bytes of one read, up to 64 KiB, may exceed the limit.
 */
const MAX_WAITING_REQUESTS = 16;
/** Bytes of bodies of waiting requests at which reading stops. Legal bodies of a few requests would exceed a budget. */
const MAX_WAITING_BODY_BYTES = 64 * 1024;

/** Node.js keeps the objects of a request from its arrival: 19,000 short requests take 84 MB. */
const REQUEST_OVERHEAD_BYTES = 4_550;
/** Most bytes of a body that are kept before it is read: those of one read. */
const MAX_UNREAD_BODY_BYTES = 64 * 1024;
/** Name and value of a header field, their places in the lists of Node.js and of the host, and the entry in `headers`. */
const FIELD_OVERHEAD_BYTES = 200;

export type BeginRequest = (request: IncomingMessage, response: ServerResponse) => void;

export interface RequestQueues {
    /**
     * Begins a request once the responses to all earlier requests of its connection have been sent. It is never begun if the
     * connection ends before that. Its connection is closed if `budget` does not pay for its objects.
     */
    readonly enqueue: (request: IncomingMessage, response: ServerResponse, options: EnqueueOptions) => void;
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
    /** Returns whether a connection only waits for a response: its only request has been received, and nothing is unread. */
    readonly isWaitingForHost: (socket: Duplex) => boolean;
    /** Stops reading from a connection if too much waits. Called after bytes have been parsed. */
    readonly limitReading: (socket: Duplex) => void;
    /** Returns the number of requests of the connection whose head has been received. */
    readonly countHeads: (socket: Duplex) => number;
    /** Returns the request of the connection whose body is being received. */
    readonly getReceiving: (socket: Duplex) => IncomingMessage | undefined;
    /** Returns the bytes of that body that have been received, 0 if they are not counted. */
    readonly countBodyBytes: (socket: Duplex) => number;
    /** Returns the number of requests that wait or have been begun. */
    readonly countPending: () => number;
}

export interface EnqueueOptions {
    readonly begin: BeginRequest;
    readonly budget: ByteBudget;
    /** Called if the request is not begun. */
    readonly drop?: () => void;
    /** Returns the bytes of its body that are held. */
    readonly getBodyBytes?: () => number;
    /** Returns the bytes of its body that have been received. */
    readonly getReceivedBytes?: () => number;
    /** Whether its body is not read before it is begun, so that Node.js keeps what has arrived. */
    readonly isBodyUnread?: boolean;
}

interface WaitingRequest extends EnqueueOptions {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

/** A request in a queue, with the memory that it may occupy until it is begun. */
interface QueuedRequest extends WaitingRequest {
    readonly bytes: number;
}

interface RequestQueue {
    readonly socket: Socket;
    readonly waiting: QueuedRequest[];
    /** Whether a request has been begun and its response has not been sent. */
    isBusy: boolean;
    isMonitored: boolean;
    /** Response to the request that has been begun last. */
    current: ServerResponse | undefined;
    /** Request whose head was received last, until its response has been sent. */
    last: IncomingMessage | undefined;
    /** Returns the bytes of the body of the request whose head was received last, if they are counted. */
    getReceivedBytes: (() => number) | undefined;
    /** Number of requests whose head has been received. */
    receivedCount: number;
    /** Called once no request is in progress or waits. */
    onIdle: (() => void) | undefined;
}

/** State of all connections of a server. */
interface ServerState {
    readonly queues: WeakMap<Duplex, RequestQueue>;
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
        pendingCount: 0,
    };
    return {
        enqueue: (request, response, options) => enqueueRequest(state, { request, response, ...options }),
        failAfterPending: (socket, fail) => failAfterPending(state, queues.get(socket), fail),
        countReceived: socket => countReceivedRequests(queues.get(socket)),
        hasPending: socket => hasPendingRequest(queues.get(socket)),
        hasWaiting: socket => (queues.get(socket)?.waiting.length ?? 0) > 0,
        isWaitingForHost: socket => isWaitingForHost(queues.get(socket)),
        limitReading: socket => {
            const queue = queues.get(socket);
            if (queue !== undefined && queue.waiting.length > 0) {
                stopReading(queue);
            }
        },
        countHeads: socket => queues.get(socket)?.receivedCount ?? 0,
        getReceiving: socket => {
            const last = queues.get(socket)?.last;
            return last?.complete === false ? last : undefined;
        },
        countBodyBytes: socket => queues.get(socket)?.getReceivedBytes?.() ?? 0,
        countPending: () => state.pendingCount,
    };
}

function enqueueRequest(state: ServerState, received: WaitingRequest): void {
    const { socket } = received.request;
    const entry = { ...received, bytes: estimateBytes(received) };
    const queue = state.queues.get(socket) ?? createQueue(socket);
    state.queues.set(socket, queue);
    queue.last = entry.request;
    queue.getReceivedBytes = entry.getReceivedBytes;
    queue.receivedCount += 1;
    if (!entry.budget.take(entry.bytes)) {
        closeConnection(socket, "budget");
        entry.drop?.();
    }
    else if (!queue.isBusy && canRespond(entry)) {
        state.pendingCount += 1;
        beginRequest(state, queue, entry);
    }
    else if (queue.isBusy && socket.writable) {
        addWaiting(state, queue, entry);
    }
    else {
        // The connection ends with an earlier response. Further requests would only occupy memory.
        recordCloseCause(socket, "earlier_response");
        dropEntry(entry);
        socket.pause();
    }
}

function dropEntry({ budget, bytes, drop }: QueuedRequest): void {
    budget.give(bytes);
    drop?.();
}

function beginRequest(state: ServerState, queue: RequestQueue, entry: QueuedRequest): void {
    const { request, response, begin, budget, bytes } = entry;
    queue.isBusy = true;
    queue.current = response;
    response.once("close", () => {
        budget.give(bytes);
        if (response.writableFinished && !response.shouldKeepAlive) {
            recordCloseCause(queue.socket, "earlier_response");
        }
        queue.current = undefined;
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
        beginRequest(state, queue, next);
        // Stops again if too much still waits.
        resumeConnection(queue.socket);
    }
}

function addWaiting(state: ServerState, queue: RequestQueue, entry: QueuedRequest): void {
    state.pendingCount += 1;
    queue.waiting.push(entry);
    if (!queue.isMonitored) {
        monitorConnection(state, queue);
    }
    stopReading(queue);
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
    const bodyBytes = waiting.reduce((sum, { getBodyBytes }) => sum + (getBodyBytes?.() ?? 0), 0);
    if (waiting.length >= MAX_WAITING_REQUESTS || bodyBytes > MAX_WAITING_BODY_BYTES) {
        socket.pause();
    }
}

function dropWaiting(state: ServerState, queue: RequestQueue): void {
    const dropped = queue.waiting.splice(0);
    state.pendingCount -= dropped.length;
    dropped.forEach(dropEntry);
}

function estimateBytes({ request, isBodyUnread = false }: WaitingRequest): number {
    const { rawHeaders, url = "", headers } = request;
    const headBytes = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
    const statedBytes = headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : Infinity;
    const bodyBytes = isBodyUnread ? Math.min(statedBytes, MAX_UNREAD_BODY_BYTES) : 0;
    return REQUEST_OVERHEAD_BYTES + headBytes + rawHeaders.length / 2 * FIELD_OVERHEAD_BYTES + bodyBytes;
}

/** A connection that is not read from, or whose response is not read, waits for its caller. */
const isWaitingForHost = (queue: RequestQueue | undefined): boolean =>
    queue !== undefined && queue.isBusy && queue.waiting.length === 0 && !isIncomplete(queue)
    && queue.current?.writableLength === 0;

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
        queue.waiting.splice(-1).forEach(dropEntry);
        state.pendingCount -= 1;
    }
    queue.onIdle = fail;
}

const createQueue = (socket: Socket): RequestQueue => ({
    socket,
    waiting: [],
    isBusy: false,
    isMonitored: false,
    current: undefined,
    last: undefined,
    getReceivedBytes: undefined,
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
