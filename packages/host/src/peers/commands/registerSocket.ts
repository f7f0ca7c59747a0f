/** Turns an open socket into a peer connection once the peer has identified itself with its hello. */
import { closeQueue, openQueue, recordHeartbeat } from "@currantrill/core";
import type { HelloMessage, PeerMessage } from "@currantrill/protocol";
import type { RawData, WebSocket } from "ws";
import type { HostContext } from "../../model/hostContext.js";
import { PEER_TIMEOUT_MS, type PeerConnection } from "../model/fleet.js";
import { decodePeerMessage } from "../queries/peerCodec.js";
import { handlePeerMessage } from "./handlePeerMessage.js";
import { sendMessage } from "./sendMessage.js";

export interface RegisterOptions {
    /** Whether this host opened the connection. */
    readonly isOutbound: boolean;
    /** Called with the connection once the peer has sent its hello. */
    readonly onConnected?: (connection: PeerConnection) => void;
}

/**
 * Sends the hello of this host over an open socket and handles the messages of the peer. Terminates the socket if no
 * hello arrives within `PEER_TIMEOUT_MS`. Messages before the hello are ignored.
 */
export function registerSocket(context: HostContext, socket: WebSocket, options: RegisterOptions): void {
    let connection: PeerConnection | undefined;
    const helloTimer = setTimeout(() => socket.terminate(), PEER_TIMEOUT_MS);
    socket.on("message", (data: RawData) => {
        const message = receiveMessage(context, socket, data as Buffer);
        if (message === undefined) {
            return;
        }
        if (connection !== undefined) {
            handlePeerMessage(context, connection, message);
            return;
        }
        if (message.type === "hello") {
            clearTimeout(helloTimer);
            connection = addConnection(context, socket, message, options.isOutbound);
            options.onConnected?.(connection);
        }
    });
    socket.on("error", error => context.log.debug({ err: error }, "peers: connection error"));
    socket.on("close", () => {
        clearTimeout(helloTimer);
        removeConnection(context, connection);
    });
    sendHello(context, socket);
}

/** Decodes and counts a message. Terminates the socket if the message cannot be decoded. */
function receiveMessage(context: HostContext, socket: WebSocket, data: Buffer): PeerMessage | undefined {
    try {
        const message = decodePeerMessage(data);
        context.metrics.controlMessages.inc({ direction: "received", type: message.type });
        context.metrics.controlBytes.inc({ direction: "received", type: message.type }, data.length);
        return message;
    }
    catch (error) {
        context.log.warn({ err: error }, "peers: cannot decode message, connection closed");
        socket.terminate();
        return undefined;
    }
}

function sendHello(context: HostContext, socket: WebSocket): void {
    const { fleet, settings, incarnation, configuration } = context;
    sendMessage(context, socket, {
        type: "hello",
        host: fleet.self,
        incarnation,
        failureDomain: fleet.failureDomain,
        peerAddress: settings.listen.peers,
        revision: configuration.current.revision,
    });
}

/**
 * Registers the connection in place of an earlier one to the same host, records a heartbeat of the peer and requests a
 * snapshot of its facts and its configuration.
 */
function addConnection(
    context: HostContext,
    socket: WebSocket,
    hello: HelloMessage,
    isOutbound: boolean,
): PeerConnection {
    const { fleet } = context;
    const now = performance.now();
    const { host, incarnation, failureDomain, peerAddress, revision } = hello;
    fleet.connections.get(host)?.socket.terminate();
    const connection: PeerConnection = {
        host,
        incarnation,
        failureDomain,
        socket,
        isOutbound,
        pings: new Map(),
        sentFacts: new Map(),
        lastPongAtMs: now,
        lastNeededAtMs: now,
        revision,
        configurationSentAtMs: -Infinity,
    };
    fleet.connections.set(host, connection);
    fleet.gossip = openQueue(fleet.gossip, host);
    const info = { host, incarnation, failureDomain, peerAddress, leaving: false };
    fleet.membership = recordHeartbeat(fleet.membership, info, now);
    sendMessage(context, socket, { type: "snapshotRequest", revision: context.configuration.current.revision });
    context.log.debug({ peer: host }, "peers: connected");
    return connection;
}

/** Removes a closed connection, unless a newer one to the same host has replaced it. */
function removeConnection(context: HostContext, connection: PeerConnection | undefined): void {
    const { fleet } = context;
    if (connection === undefined || fleet.connections.get(connection.host) !== connection) {
        return;
    }
    fleet.connections.delete(connection.host);
    fleet.gossip = closeQueue(fleet.gossip, connection.host);
    context.log.debug({ peer: connection.host }, "peers: disconnected");
}
