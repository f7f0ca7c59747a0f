import type { Socket } from "node:net";
import { detectReset } from "../../endpoints/commands/detectReset.js";

/**
 * Passes bytes on between the connection of a peer and one to an endpoint. The peer sees the same end as this host: a
 * reset of the endpoint is a reset for the peer, too, which cannot take a response without a length for complete then.
 */
export function joinSockets(peer: Socket, endpoint: Socket): void {
    const reset = (): void => void peer.resetAndDestroy();
    peer.pipe(endpoint, { end: false });
    endpoint.pipe(peer, { end: false });
    endpoint.on("error", reset);
    endpoint.once("end", () => {
        void detectReset(endpoint).then(hasBeenReset => {
            if (hasBeenReset) {
                reset();
                return;
            }
            peer.end();
        });
    });
    endpoint.once("close", () => {
        if (!endpoint.readableEnded) {
            reset();
        }
    });
    // A host closes its connection to give up the request on it, and the endpoint is to stop working on it.
    peer.once("end", () => endpoint.destroy());
    peer.once("error", () => endpoint.destroy());
    peer.once("close", () => endpoint.destroy());
}
