/** Relays connections of peers that have lost their own paths to endpoints. */
import type { IncomingMessage } from "node:http";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { SocketConnector } from "../../endpoints/commands/connectSocket.js";
import { parseTunnelFormat, TUNNEL_FORMAT_HEADER, type TunnelFormat } from "../model/tunnelFormat.js";
import { joinSockets } from "./joinSockets.js";

/** Why a connection is not relayed, with the status of the response. */
const refusals = {
    unknown_endpoint: 403,
    not_connected: 502,
    stopping: 503,
} as const;

/** Responses to a host whose connection is relayed. Builds without formats get the one that they know. */
const responses: Readonly<Record<TunnelFormat, string>> = {
    raw: "HTTP/1.1 200 Connection Established\r\n\r\n",
    framed: `HTTP/1.1 200 Connection Established\r\n${TUNNEL_FORMAT_HEADER}: framed\r\n\r\n`,
};

export type RelayOutcome = "connected" | keyof typeof refusals;

export interface RelayServerOptions {
    /** Connects directly, so that a connection is relayed once and never comes back. */
    readonly connectDirect: SocketConnector;
    readonly isKnownAddress: (address: string) => boolean;
    readonly isStopping: () => boolean;
    /** Returns whether this host reaches the endpoint only through peers itself. */
    readonly isDetoured: (address: string) => boolean;
    /** Called with the outcome of each connection, for metrics. */
    readonly onRelay: (outcome: RelayOutcome) => void;
}

export interface RelayServer {
    /** Handles a CONNECT request. */
    readonly handleTunnel: (request: IncomingMessage, socket: Socket) => void;
    readonly countOpen: () => number;
}

export function createRelayServer(options: RelayServerOptions): RelayServer {
    const { connectDirect, isKnownAddress, isStopping, isDetoured, onRelay } = options;
    const open = new Set<Socket>();
    const refuse = (socket: Socket, reason: keyof typeof refusals): void => {
        const status = refusals[reason];
        onRelay(reason);
        socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
    };
    return {
        handleTunnel: ({ url: address = "", headers }, socket) => {
            // The peer has gone; it reports the failure of its request.
            socket.on("error", () => socket.destroy());
            const reason = isStopping()
                ? "stopping"
                : !isKnownAddress(address)
                ? "unknown_endpoint"
                : isDetoured(address)
                ? "not_connected"
                : undefined;
            if (reason !== undefined) {
                refuse(socket, reason);
                return;
            }
            const pending = connectDirect(address);
            open.add(socket);
            socket.once("close", () => {
                open.delete(socket);
                pending.cancel();
            });
            pending.connected.then(
                endpoint => {
                    onRelay("connected");
                    const format = parseTunnelFormat(headers[TUNNEL_FORMAT_HEADER]);
                    socket.write(responses[format]);
                    joinSockets(socket, endpoint, format);
                },
                () => {
                    open.delete(socket);
                    refuse(socket, "not_connected");
                },
            );
        },
        countOpen: () => open.size,
    };
}
