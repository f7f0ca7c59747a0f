/** Connections to one endpoint, each with one request at a time. */
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";

/** The endpoints answer a new connection within a few milliseconds; a queue that is full drops the first packet. */
const CONNECT_TIMEOUT_MS = 500;
/** Idle time after which a connection is closed where the endpoint names none. */
const IDLE_MS = 4_000;
/** An idle connection is closed this much before the time that the endpoint named. */
const IDLE_MARGIN_MS = 1_000;
/** Probes of the operating system on a connection that carries no data. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** One connection. */
export interface Connection {
    readonly client: Client;
    /** Set while connected. */
    socket: Socket | undefined;
    /** Whether the socket ended with an error, such as a reset. */
    hasSocketError: boolean;
    /** Requests it has carried. */
    uses: number;
}

export interface ConnectionPool {
    /** Takes an idle connection, the one used last, or a new one. */
    take(isFresh: boolean): Connection;
    /** Returns a connection for further use. */
    give(connection: Connection): void;
    /** Closes a connection that must not be used again. */
    discard(connection: Connection): void;
    /** Closes idle connections, such as those opened at the same time as one that went silent. */
    discardIdle(): void;
    close(): void;
}

/** Creates a pool for an IP address and port. `onConnect` is called for each new connection. */
export function createConnectionPool(address: string, onConnect: () => void): ConnectionPool {
    let idle: Connection[] = [];
    let isClosed = false;
    const discard = (connection: Connection): void => {
        idle = idle.filter(other => other !== connection);
        // The promise rejects only if a callback throws, and there is none.
        void connection.client.destroy();
    };
    const open = (): Connection => {
        const connector = buildConnector({
            timeout: CONNECT_TIMEOUT_MS,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
            // Keeps the socket writable after the other side's end, which `checkReset` needs.
            allowHalfOpen: true,
        });
        const connection: Connection = {
            socket: undefined,
            hasSocketError: false,
            uses: 0,
            client: new Client(`http://${address}`, {
                pipelining: 1,
                keepAliveTimeout: IDLE_MS,
                keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
                headersTimeout: 0,
                bodyTimeout: 0,
                connect: (options, callback) =>
                    connector(options, (...result) => {
                        const [error, socket] = result;
                        if (error === null) {
                            connection.socket = socket;
                            // Registered before the client's own listener, which may take a reset for the end of a body.
                            socket.prependListener("error", () => {
                                connection.hasSocketError = true;
                            });
                        }
                        callback(...result);
                    }),
            }),
        };
        connection.client.on("connect", onConnect);
        connection.client.on("disconnect", () => discard(connection));
        return connection;
    };
    return {
        take: isFresh => {
            const reused = isFresh ? undefined : idle.pop();
            const connection = reused ?? open();
            connection.uses += 1;
            return connection;
        },
        give: connection => {
            if (isClosed || connection.client.destroyed || connection.client.closed) {
                discard(connection);
                return;
            }
            idle.push(connection);
        },
        discard,
        discardIdle: () => idle.forEach(discard),
        close: () => {
            isClosed = true;
            idle.forEach(discard);
        },
    };
}

/**
 * Finds out whether a connection that has ended was reset. A reset that arrives together with data is reported by the
 * runtime as an ordinary end, but a write then fails. An empty line before a request is ignored by HTTP servers.
 */
export function checkReset(connection: Connection): Promise<boolean> {
    const { socket } = connection;
    if (connection.hasSocketError || socket === undefined) {
        return Promise.resolve(true);
    }
    return new Promise(resolve => {
        socket.write("\r\n", error => resolve(error !== null && error !== undefined));
    });
}
