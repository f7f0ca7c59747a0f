/** Simulates unresponsive connections: they stay open for the peer but carry no data in either direction. */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/** Suspends the open connections of one server. */
export interface ConnectionSuspender {
    /** Suspends all open connections except one. After `durationMs` milliseconds they are reset. */
    readonly suspend: (durationMs: number, excludedSocket: Socket) => void;
    /** Whether the request arrived on a suspended connection. */
    readonly isSuspended: (request: IncomingMessage) => boolean;
}

/** Tracks the open connections of a server from now on. */
export function createConnectionSuspender(server: Server): ConnectionSuspender {
    const openSockets = new Set<Socket>();
    const suspendedSockets = new WeakSet<Socket>();
    server.on("connection", (socket: Socket) => {
        openSockets.add(socket);
        socket.once("close", () => openSockets.delete(socket));
    });
    return {
        suspend: (durationMs, excludedSocket) => {
            const sockets = [...openSockets].filter(socket => socket !== excludedSocket);
            sockets.forEach(socket => {
                suspendedSockets.add(socket);
                dropOutput(socket);
            });
            setTimeout(() => sockets.forEach(socket => socket.resetAndDestroy()), durationMs).unref();
        },
        isSuspended: request => suspendedSockets.has(request.socket),
    };
}

/** Discards all data that the server writes, and disables its idle timeout, which would close the connection. */
function dropOutput(socket: Socket): void {
    socket.setTimeout(0);
    socket.write = () => true;
    socket.end = () => socket;
    socket.destroySoon = () => undefined;
    socket.setTimeout = () => socket;
}
