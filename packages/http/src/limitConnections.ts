import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { awaitReads } from "./awaitReads.js";
import { closeConnection } from "./closeConnection.js";

/**
 * Fraction of the limit by which connections may exceed it, so that their requests get a refusal. Connections beyond that
 * are closed when they are accepted.
 */
const EXCESS_FRACTION = 0.05;
const MIN_EXCESS = 8;
/**
 * Time that a connection has for the head of a request before it may be closed in favour of another one. Heads arrive
 * within milliseconds; connections that send none must not keep others out.
 */
const HEAD_TIME_MS = 1_000;

export type ConnectionLimitEvent =
    /** An idle connection has been closed in favour of a new one. */
    | "idle_closed"
    /** All connections have requests in flight, so that the requests of a new one are refused. */
    | "refused"
    /** A connection has been closed without reading from it. */
    | "dropped";

export interface ConnectionLimitOptions {
    readonly server: Server;
    readonly maxConnections: number;
    /** Called for each connection beyond the limit. */
    readonly onLimit: (event: ConnectionLimitEvent) => void;
    /** Returns the time on a monotonic clock, in milliseconds. */
    readonly getNowMs?: () => number;
}

export interface ConnectionLimit {
    /** Returns whether the request came on a connection beyond the limit. */
    readonly isExcess: (request: IncomingMessage) => boolean;
    /** Counts a connection as in use until it closes. */
    readonly hold: (socket: Socket) => void;
    /** Closes the connections that clients keep for a further request and on which none has arrived. */
    readonly closeKept: () => Promise<void>;
    /** Returns the number of connections on which the head of a request is arriving. */
    readonly countArriving: () => number;
    /** Closes all connections, also those with requests in flight. */
    readonly closeAll: () => void;
}

interface ConnectionState {
    /** Requests whose head has been received and whose response has not been sent. */
    pendingCount: number;
    /** Whether a response has been sent, so that the client keeps the connection for a further request. */
    isKept: boolean;
    idleSinceMs: number;
    /** Number of bytes that had been received when the connection became idle. More mean that a request is arriving. */
    bytesWhenIdle: number;
}

/**
 * Limits the connections of a server, so that it leaves file descriptors for other purposes. A connection beyond the limit
 * replaces the one that has been idle for longest, which a client expects of a connection that it keeps. If there is none,
 * its requests are to be refused.
 */
export function limitConnections(
    { server, maxConnections, onLimit, getNowMs = () => performance.now() }: ConnectionLimitOptions,
): ConnectionLimit {
    const connections = new Map<Socket, ConnectionState>();
    /** Connections without a request in flight, the one that has been idle for longest first. */
    const idle = new Set<Socket>();
    const excess = createExcessConnections();
    const maxExcess = Math.max(MIN_EXCESS, Math.ceil(maxConnections * EXCESS_FRACTION));
    const markIdle = (socket: Socket, state: ConnectionState): void => {
        state.idleSinceMs = getNowMs();
        state.bytesWhenIdle = socket.bytesRead;
        idle.add(socket);
    };
    const remove = (socket: Socket): void => [connections, idle].forEach(each => void each.delete(socket));
    /** Closes an idle connection, unless a request has arrived on it, which is refused. Returns whether there was one. */
    const closeIdle = (): boolean => {
        const closed = findIdle(connections, idle, getNowMs());
        if (closed === undefined) {
            return false;
        }
        remove(closed);
        excess.add(closed);
        void excess.closeUnlessRefused(closed);
        return true;
    };
    const refuseOrDrop = (socket: Socket): void => {
        if (excess.list().length >= maxExcess) {
            closeConnection(socket, "connection_limit");
            onLimit("dropped");
            return;
        }
        excess.add(socket);
        onLimit("refused");
    };
    server.on("connection", (socket: Socket) => {
        const isFull = connections.size >= maxConnections;
        if (isFull && !closeIdle()) {
            refuseOrDrop(socket);
            return;
        }
        const state = { pendingCount: 0, isKept: false, idleSinceMs: 0, bytesWhenIdle: 0 };
        connections.set(socket, state);
        markIdle(socket, state);
        socket.once("close", () => remove(socket));
        if (isFull) {
            onLimit("idle_closed");
        }
    });
    const hold = (socket: Socket): ConnectionState | undefined => {
        const state = connections.get(socket);
        if (state !== undefined) {
            state.pendingCount += 1;
            idle.delete(socket);
        }
        return state;
    };
    server.on("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        const state = hold(socket);
        if (state === undefined) {
            excess.markRefused(socket);
            return;
        }
        response.once("close", () => {
            state.pendingCount -= 1;
            if (state.pendingCount === 0 && connections.has(socket)) {
                state.isKept = true;
                markIdle(socket, state);
            }
        });
    });
    return {
        isExcess: request => excess.has(request.socket),
        hold: socket => void hold(socket),
        closeKept: async () => {
            await awaitReads();
            [...idle].filter(socket => isKept(connections, socket)).forEach(socket => closeConnection(socket, "stop"));
        },
        countArriving: () => [...idle].filter(socket => isArriving(connections, socket)).length,
        closeAll: () => [...connections.keys(), ...excess.list()].forEach(socket => closeConnection(socket, "stop")),
    };
}

/**
 * Connections beyond the limit, whose requests are refused. They are kept apart from the others, so that they do not replace
 * each other before that.
 */
interface ExcessConnections {
    readonly list: () => readonly Socket[];
    readonly has: (socket: Socket) => boolean;
    readonly add: (socket: Socket) => void;
    /** Records that a connection has sent a request. */
    readonly markRefused: (socket: Socket) => void;
    /** Closes a connection, unless it has sent a request, whose refusal closes it. */
    readonly closeUnlessRefused: (socket: Socket) => Promise<void>;
}

function createExcessConnections(): ExcessConnections {
    const excess = new Set<Socket>();
    const refused = new WeakSet<Socket>();
    return {
        list: () => [...excess],
        has: socket => excess.has(socket),
        add: socket => {
            excess.add(socket);
            socket.once("close", () => excess.delete(socket));
        },
        markRefused: socket => void refused.add(socket),
        closeUnlessRefused: async socket => {
            await awaitReads();
            if (!refused.has(socket)) {
                closeConnection(socket, "connection_limit");
            }
        },
    };
}

/** Returns whether a connection without a request in flight has got bytes of one. */
const isArriving = (connections: ReadonlyMap<Socket, ConnectionState>, socket: Socket): boolean =>
    socket.bytesRead !== connections.get(socket)?.bytesWhenIdle;

/** Returns whether the client keeps a connection without a request in flight, and no further request is arriving. */
const isKept = (connections: ReadonlyMap<Socket, ConnectionState>, socket: Socket): boolean =>
    connections.get(socket)?.isKept === true && !isArriving(connections, socket);

/** Finds the connection to close: one that is kept, or else one that has not sent the head of a request in time. */
function findIdle(
    connections: ReadonlyMap<Socket, ConnectionState>,
    idle: ReadonlySet<Socket>,
    nowMs: number,
): Socket | undefined {
    for (const socket of idle) {
        if (isKept(connections, socket)) {
            return socket;
        }
    }
    const [oldest] = idle;
    const idleSinceMs = oldest === undefined ? Infinity : connections.get(oldest)?.idleSinceMs ?? Infinity;
    return nowMs - idleSinceMs >= HEAD_TIME_MS ? oldest : undefined;
}
