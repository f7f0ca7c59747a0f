import { request as sendHttp } from "node:http";
import { connect, type Socket } from "node:net";
import type { PendingSocket } from "../../endpoints/commands/connectSocket.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";

/** Time limit for the peer's answer: that of its connection to the endpoint, and a little for the way there. */
const RELAY_TIMEOUT_MS = 600;
const OK = 200;

/** Connects to an endpoint through a peer, with an HTTP CONNECT request on its peer address. */
export function openRelay(peer: string, address: string): PendingSocket {
    const [host = "", port = "0"] = peer.split(":");
    const outgoing = sendHttp({
        method: "CONNECT",
        path: address,
        createConnection: () => connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true }),
    });
    const connected = new Promise<Socket>((resolve, reject) => {
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
        outgoing.on("connect", ({ statusCode }, socket: Socket, head) => {
            cancelTimeout();
            if (statusCode !== OK) {
                socket.destroy();
                reject(new Error(`peer ${peer} did not connect to ${address}: status ${statusCode}`));
                return;
            }
            if (head.length > 0) {
                socket.unshift(head);
            }
            resolve(socket);
        });
        outgoing.end();
    });
    return {
        connected,
        cancel: () => {
            outgoing.destroy();
            connected.then(socket => socket.destroy(), () => undefined);
        },
    };
}
