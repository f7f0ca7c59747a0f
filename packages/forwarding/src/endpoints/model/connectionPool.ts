/** Pool of HTTP/1.1 connections to one endpoint. Each connection carries one request at a time, without pipelining. */
import { Client } from "undici";
import { connectSocket } from "../commands/connectSocket.js";
import { toDirectConnection } from "../commands/toDirectConnection.js";
import type { EndpointConnector, EndpointSocket, EndpointStream } from "./endpointSocket.js";

/** Idle time after which a connection is closed if the endpoint does not announce a keep-alive timeout. */
const IDLE_TIMEOUT_MS = 4_000;
/** Idle connections are closed this long before the keep-alive timeout that the endpoint announced. */
const IDLE_MARGIN_MS = 1_000;
/** Limit on the header lines, or the trailer lines, of a response. Responses of endpoints have a few hundred bytes. */
export const MAX_HEAD_BYTES = 32_768;

/** One connection to the endpoint. It is discarded when its socket disconnects. */
export interface Connection {
    readonly client: Client;
    /** Set once connected. */
    socket: EndpointStream | undefined;
    /** Peer that relays the connection; `undefined` for a direct one. */
    relay: string | undefined;
    /** Returns whether the endpoint itself has ended the connection; see `EndpointSocket`. */
    checkEnd: EndpointSocket["checkEnd"];
    /** Returns whether its path has been lost, which says nothing about the endpoint. */
    isCut: EndpointSocket["isCut"];
    /** When bytes were last received, or the connection was established, on the monotonic clock. */
    lastReceivedAtMs: number;
    /** Whether the socket reported an error, such as a reset. */
    hasSocketError: boolean;
    /** Number of requests sent on this connection, including the current one. */
    requestCount: number;
    /** Ids of requests that the endpoint has refused on this connection, and whose refusal it may send once more. */
    readonly refusedIds: Set<string>;
    /** Called with the number of bytes received on the connection so far, whenever there are more. */
    onBytesReceived: ((bytesReceived: number) => void) | undefined;
    /** Called when the endpoint has ended its side and all its bytes have been read. */
    onEnd: (() => void) | undefined;
}

/** Connections that are in use are not held by the pool; callers return them by `release` or `discard`. */
export interface ConnectionPool {
    /** Returns the most recently used idle connection, or a new one if there is none or `usesNewConnection` is set. */
    acquire(usesNewConnection: boolean): Connection;
    /** Returns a connection to the pool for reuse. */
    release(connection: Connection): void;
    /** Closes a connection that must not be reused. */
    discard(connection: Connection): void;
    /** Closes all idle connections, since those may be as dead as the one that stopped responding. */
    discardIdle(): void;
    /** Closes the idle connections that are not to be reused any more. */
    discardUnusable(): void;
    /** Closes the direct connections that are idle, and also those in use that have been silent, if their path is lost. */
    discardDirect(includesSilent: boolean): void;
    /** Returns whether a direct connection is in use and has been silent. */
    hasSilentDirect(): boolean;
    /** Closes the idle connections. Connections in use are closed when they are released. */
    close(): void;
}

export interface ConnectionPoolOptions {
    /** Called for each established connection. */
    readonly onConnect?: () => void;
    readonly connect?: EndpointConnector;
    /** Returns whether an idle connection may be reused, by the peer that relays it. */
    readonly isReusable?: (relay: string | undefined) => boolean;
}

/** The HTTP client types a connection as a socket, and uses it as a stream only. */
type StreamCallback = (error: null, stream: EndpointStream) => void;

/** A connection until it is established. */
const unconnected = {
    socket: undefined,
    relay: undefined,
    checkEnd: () => Promise.resolve(false),
    isCut: () => false,
} satisfies Partial<Connection>;

/** Reason of attempts on connections whose path is lost. */
const LOST_PATH = "the host has lost its path to the endpoint";
/** A connection whose path is lost is silent for longer than sound ones are between two events. */
const MIN_SILENCE_MS = 200;

const defaultOptions = {
    onConnect: () => undefined,
    connect: address => connectSocket(address).connected.then(toDirectConnection),
    isReusable: () => true,
} satisfies ConnectionPoolOptions;

/** Creates a pool for `address`, an IP address and port. */
export function createConnectionPool(address: string, options: ConnectionPoolOptions = {}): ConnectionPool {
    const { onConnect, connect, isReusable } = { ...defaultOptions, ...options };
    let idle: Connection[] = [];
    const open = new Set<Connection>();
    let isClosed = false;
    const discard = (connection: Connection): void => {
        idle = idle.filter(other => other !== connection);
        open.delete(connection);
        // The promise can only reject if a callback throws, and no callback is passed.
        void connection.client.destroy();
    };
    const openConnection = (): Connection => {
        const connection: Connection = {
            ...unconnected,
            lastReceivedAtMs: performance.now(),
            hasSocketError: false,
            requestCount: 0,
            refusedIds: new Set(),
            onBytesReceived: undefined,
            onEnd: undefined,
            client: new Client(`http://${address}`, {
                pipelining: 1,
                keepAliveTimeout: IDLE_TIMEOUT_MS,
                keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
                headersTimeout: 0,
                bodyTimeout: 0,
                maxHeaderSize: MAX_HEAD_BYTES,
                connect: (_options, callback) =>
                    void connect(address).then(
                        established => {
                            watchSocket(connection, established);
                            (callback as StreamCallback)(null, established.socket);
                        },
                        (error: unknown) => callback(error as Error, null),
                    ),
            }),
        };
        connection.client.on("connect", onConnect);
        connection.client.on("disconnect", () => discard(connection));
        open.add(connection);
        return connection;
    };
    const discardUnusable = (): void => idle.filter(({ relay }) => !isReusable(relay)).forEach(discard);
    const listSilentDirect = (): readonly Connection[] =>
        [...open].filter(connection =>
            connection.socket !== undefined && connection.relay === undefined && !idle.includes(connection)
            && performance.now() - connection.lastReceivedAtMs >= MIN_SILENCE_MS
        );
    return {
        acquire: usesNewConnection => {
            discardUnusable();
            const reused = usesNewConnection ? undefined : idle.pop();
            const connection = reused ?? openConnection();
            connection.requestCount += 1;
            return connection;
        },
        release: connection => {
            if (isClosed || connection.client.destroyed || connection.client.closed) {
                discard(connection);
                return;
            }
            idle.push(connection);
        },
        discard,
        discardUnusable,
        discardDirect: includesSilent => {
            idle.filter(({ relay }) => relay === undefined).forEach(discard);
            if (includesSilent) {
                listSilentDirect().forEach(closeLost);
            }
        },
        hasSilentDirect: () => listSilentDirect().length > 0,
        discardIdle: () => idle.forEach(discard),
        close: () => {
            isClosed = true;
            idle.forEach(discard);
        },
    };
}

/** Closes a connection whose path is lost. */
function closeLost(connection: Connection): void {
    connection.isCut = () => true;
    void connection.client.destroy(new Error(LOST_PATH));
}

function watchSocket(connection: Connection, { socket, relay, checkEnd, isCut }: EndpointSocket): void {
    connection.socket = socket;
    connection.relay = relay;
    connection.checkEnd = checkEnd;
    connection.isCut = isCut;
    connection.lastReceivedAtMs = performance.now();
    // Prepended, because the client's own listener may treat a reset as the end of a body.
    socket.prependListener("error", () => {
        connection.hasSocketError = true;
    });
    // Also before the client's own listener, which fails if the response is still paused.
    socket.on("end", () => connection.onEnd?.());
    socket.on("readable", () => {
        connection.lastReceivedAtMs = performance.now();
        connection.onBytesReceived?.(socket.bytesRead);
    });
}
