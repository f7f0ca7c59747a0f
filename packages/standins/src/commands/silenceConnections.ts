/** Connections of a server that can be made silent: open for the peer, without a byte from then on. */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

export interface ConnectionSilencer {
    /** Makes all open connections but one silent. After `durationMs` they are closed. */
    readonly silence: (durationMs: number, except: Socket) => void;
    readonly isSilent: (request: IncomingMessage) => boolean;
}

/** Follows the connections of a server. */
export function createConnectionSilencer(server: Server): ConnectionSilencer {
    const open = new Set<Socket>();
    const silent = new WeakSet<Socket>();
    server.on("connection", (socket: Socket) => {
        open.add(socket);
        socket.once("close", () => open.delete(socket));
    });
    return {
        silence: (durationMs, except) => {
            const sockets = [...open].filter(socket => socket !== except);
            sockets.forEach(socket => {
                silent.add(socket);
                dropOutput(socket);
            });
            setTimeout(() => sockets.forEach(socket => socket.resetAndDestroy()), durationMs).unref();
        },
        isSilent: request => silent.has(request.socket),
    };
}

/** Discards whatever the server writes, and keeps its idle timeout from closing the connection. */
function dropOutput(socket: Socket): void {
    socket.setTimeout(0);
    socket.write = () => true;
    socket.end = () => socket;
    socket.destroySoon = () => undefined;
    socket.setTimeout = () => socket;
}
