import { request as sendHttp } from "node:http";
import { connect, type Socket } from "node:net";
import type { EndpointSocket } from "../../endpoints/model/endpointSocket.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";
import { parseTunnelFormat, TUNNEL_FORMAT_HEADER, type TunnelFormat } from "../model/tunnelFormat.js";
import { decodeTunnel } from "./decodeTunnel.js";

/** Time limit for the peer's answer: that of its connection to the endpoint, and a little for the way there. */
const RELAY_TIMEOUT_MS = 600;
const OK = 200;

/** A connection through a peer that is being established. */
export interface PendingRelay {
    /** Rejects if the peer does not connect in time. */
    readonly connected: Promise<EndpointSocket>;
    /** Gives up the connection. Closes it if it has been established meanwhile. */
    readonly cancel: () => void;
}

type SocketReader = (socket: Socket) => Pick<EndpointSocket, "socket" | "checkEnd" | "isCut">;

const readers: Readonly<Record<TunnelFormat, SocketReader>> = {
    // The end may be that of the peer, for example because its process was killed.
    raw: socket => {
        let isCut = false;
        const recordCut = (): void => {
            isCut = true;
        };
        socket.once("end", recordCut).once("error", recordCut);
        return { socket, checkEnd: () => Promise.resolve(false), isCut: () => isCut };
    },
    framed: socket => {
        const { stream, hasEnded, isCut } = decodeTunnel(socket);
        return { socket: stream, checkEnd: () => Promise.resolve(hasEnded()), isCut };
    },
};

/** Connects to an endpoint through a peer, with an HTTP CONNECT request on its peer address. */
export function openRelay(peer: string, address: string): PendingRelay {
    const [host = "", port = "0"] = peer.split(":");
    const outgoing = sendHttp({
        method: "CONNECT",
        path: address,
        headers: { [TUNNEL_FORMAT_HEADER]: "framed" satisfies TunnelFormat },
        createConnection: () => connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true }),
    });
    const connected = new Promise<EndpointSocket>((resolve, reject) => {
        const cancelTimeout = startTimeout(RELAY_TIMEOUT_MS, () => {
            outgoing.destroy(new Error(`peer ${peer} did not connect to ${address} within ${RELAY_TIMEOUT_MS} ms`));
        });
        outgoing.on("error", error => {
            cancelTimeout();
            reject(error);
        });
        outgoing.on("close", () => {
            cancelTimeout();
            reject(new Error(`peer ${peer} closed the connection to ${address} before it was established`));
        });
        outgoing.on("connect", ({ statusCode, headers }, socket: Socket, head) => {
            cancelTimeout();
            if (statusCode !== OK) {
                socket.destroy();
                reject(new Error(`peer ${peer} did not connect to ${address}: status ${statusCode}`));
                return;
            }
            if (head.length > 0) {
                socket.unshift(head);
            }
            resolve({ ...readers[parseTunnelFormat(headers[TUNNEL_FORMAT_HEADER])](socket), relay: peer });
        });
        outgoing.end();
    });
    return {
        connected,
        cancel: () => {
            outgoing.destroy();
            connected.then(({ socket }) => socket.destroy(), () => undefined);
        },
    };
}
