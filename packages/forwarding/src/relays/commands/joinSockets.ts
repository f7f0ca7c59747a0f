import type { Socket } from "node:net";
import { detectReset } from "../../endpoints/commands/detectReset.js";
import { createTunnelEncoder } from "../model/tunnelEncoder.js";
import type { TunnelFormat } from "../model/tunnelFormat.js";

/**
 * Passes bytes on between the connection of a peer and one to an endpoint. The peer sees the same end as this host: a
 * reset of the endpoint is a reset for the peer, too, which cannot take a response without a length for complete then. In
 * frames, the peer can also tell both from the end of this host.
 */
export function joinSockets(peer: Socket, endpoint: Socket, format: TunnelFormat): void {
    const encoder = createTunnelEncoder(format);
    const reset = (): void => {
        if (encoder.marksResets) {
            encoder.end("reset");
            return;
        }
        peer.resetAndDestroy();
    };
    peer.pipe(endpoint, { end: false });
    endpoint.pipe(encoder.stream, { end: false });
    encoder.stream.pipe(peer);
    endpoint.on("error", reset);
    endpoint.on("error", () => endpoint.destroy());
    endpoint.once("end", () => {
        void detectReset(endpoint).then(hasBeenReset => {
            if (hasBeenReset) {
                reset();
                return;
            }
            // An endpoint that has closed its connection answers the bytes of the detection by a reset.
            endpoint.off("error", reset);
            encoder.end("end");
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
