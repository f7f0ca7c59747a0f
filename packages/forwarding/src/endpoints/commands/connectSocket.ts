/** Opens TCP connections to endpoints. */
import { connect, type Socket } from "node:net";
import { startTimeout } from "../model/startTimeout.js";

/**
 * Endpoints accept a connection within a few milliseconds. A full accept queue drops the first packet, which has to be
 * retransmitted.
 */
const CONNECT_TIMEOUT_MS = 500;
/** Time without data after which the operating system sends TCP keep-alive probes. */
const KEEP_ALIVE_DELAY_MS = 1_000;

/** A connection that is being established. */
export interface PendingSocket {
    /** Rejects if the connection fails or is not established in time. */
    readonly connected: Promise<Socket>;
    /** Gives up the connection. Closes it if it has been established meanwhile. */
    readonly cancel: () => void;
}

/** Begins to connect to an IP address and port. */
export type SocketConnector = (address: string) => PendingSocket;

export const connectSocket: SocketConnector = address => {
    const [host = "", port = "0"] = address.split(":");
    // Half open, so that the socket stays writable after the peer has ended its side, which `detectReset` needs.
    const socket = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    const connected = new Promise<Socket>((resolve, reject) => {
        const cancelTimeout = startTimeout(CONNECT_TIMEOUT_MS, () => {
            socket.destroy();
            reject(Object.assign(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`), { code: "ETIMEDOUT" }));
        });
        const fail = (error?: Error): void => {
            cancelTimeout();
            reject(error ?? new Error("connection closed before it was established"));
        };
        socket.once("error", fail);
        socket.once("close", () => fail());
        socket.once("connect", () => {
            cancelTimeout();
            socket.off("error", fail);
            resolve(socket);
        });
    });
    return { connected, cancel: () => void socket.destroy() };
};
