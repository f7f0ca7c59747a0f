import type { Duplex } from "node:stream";

/**
 * Why a server closes a connection. `budget`: callers make the process hold too much. `connection_limit`: there are too many
 * connections. `idle`: no request has come for the keep-alive timeout. `bad_request`: bytes that are no request. `earlier_response`:
 * a response was the last one of the connection. `stop`: the server is closed. Handlers have further causes of their own.
 */
export type CloseCause =
    | "budget"
    | "connection_limit"
    | "idle"
    | "bad_request"
    | "earlier_response"
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
