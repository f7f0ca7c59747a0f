import type { Duplex } from "node:stream";

/**
 * Detects whether a connection that has ended was reset. Node.js reports a reset that arrives together with data as an
 * ordinary end, but a subsequent write fails. The write is an empty line, which HTTP servers ignore before a request.
 */
export function detectReset(socket: Duplex): Promise<boolean> {
    if (socket.errored !== null) {
        return Promise.resolve(true);
    }
    return new Promise(resolve => {
        socket.write("\r\n", error => resolve(error !== null && error !== undefined));
    });
}
