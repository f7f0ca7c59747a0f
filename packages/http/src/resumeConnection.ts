import type { Duplex } from "node:stream";

/** Property of Node.js: whether its HTTP server has paused the connection because its responses are not read. */
interface PausableConnection {
    readonly _paused?: boolean;
}

/**
 * Resumes reading from a connection, unless the HTTP server of Node.js has paused it. Bytes that arrive during such a pause
 * fail an assertion of its data handler and are lost; it resumes the connection itself once the responses have been read.
 */
export function resumeConnection(socket: Duplex): void {
    if ((socket as PausableConnection)._paused !== true) {
        socket.resume();
    }
}
