import type { PeerMessage } from "@currantrill/protocol";
import type { WebSocket } from "ws";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { encodePeerMessage } from "../queries/peerCodec.js";

/** Bytes in the send buffer of a connection from which batches are held back: the peer is slow or unresponsive. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/**
 * Sends a message and counts it. Drops the message if the connection is not open; the peer gets the lost facts with the
 * snapshot that it requests when it connects again.
 */
export function sendMessage(context: HostContext, socket: WebSocket, message: PeerMessage): void {
    if (socket.readyState !== socket.OPEN) {
        return;
    }
    const data = encodePeerMessage(message);
    context.metrics.controlMessages.inc({ direction: "sent", type: message.type });
    context.metrics.controlBytes.inc({ direction: "sent", type: message.type }, data.length);
    socket.send(data);
}

/** Whether the send buffer of a connection has space for another batch. */
export const isWritable = (connection: PeerConnection): boolean =>
    connection.socket.bufferedAmount < MAX_BUFFERED_BYTES;
