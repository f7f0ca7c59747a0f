import type { PeerMessage } from "@currantrill/protocol";
import type { WebSocket } from "ws";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { encodePeerMessage } from "../queries/peerCodec.js";

/** Bytes waiting in a connection above which batches are held back; the connection is slow or silent. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Sends a message and counts it. A connection that is closing drops it; what is lost comes with the next snapshot. */
export function sendMessage(context: HostContext, socket: WebSocket, message: PeerMessage): void {
    if (socket.readyState !== socket.OPEN) {
        return;
    }
    const data = encodePeerMessage(message);
    context.metrics.controlMessages.inc({ direction: "sent", type: message.type });
    context.metrics.controlBytes.inc({ direction: "sent", type: message.type }, data.length);
    socket.send(data);
}

/** Whether a connection still takes batches. */
export const isWritable = (connection: PeerConnection): boolean =>
    connection.socket.bufferedAmount < MAX_BUFFERED_BYTES;
