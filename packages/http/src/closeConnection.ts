import type { Duplex } from "node:stream";

/** Why a server closes a connection. Handlers have further causes of their own. */
export type CloseCause =
    /** Callers make the process hold too much. */
    | "budget"
    /** There are too many connections. */
    | "connection_limit"
    /** No request has come for the keep-alive timeout. */
    | "idle"
    /** The client sent bytes that are no request. */
    | "bad_request"
    /** A response was the last one of the connection. */
    | "earlier_response"
    /** The server is closed. */
    | "stop"
    | (string & {});

const causes = new WeakMap<Duplex, CloseCause>();

/** Records why a connection is about to be closed. The first cause is kept. */
export function recordCloseCause(connection: Duplex, cause: CloseCause): void {
    if (!causes.has(connection) && !connection.destroyed) {
        causes.set(connection, cause);
    }
}

/** Closes a connection at once. Whatever has not been sent is lost. */
export function closeConnection(connection: Duplex, cause: CloseCause): void {
    recordCloseCause(connection, cause);
    connection.destroy();
}

/** Returns why this process has closed a connection; `undefined` if the client closed it or it failed. */
export const getCloseCause = (connection: Duplex): CloseCause | undefined => causes.get(connection);
