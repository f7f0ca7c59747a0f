import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { EndpointStream } from "../../endpoints/model/endpointSocket.js";
import { createTunnelDecoder } from "../model/tunnelDecoder.js";

export interface DecodedTunnel {
    /** Bytes of the endpoint, and to it. Ends when the endpoint ends its side, or when the connection to the peer ends. */
    readonly stream: EndpointStream;
    /** Returns whether the relaying host has said that the endpoint itself has ended its side. */
    readonly hasEnded: () => boolean;
}

/** Decodes the frames of a relaying host. Bytes to the endpoint are sent as they are. */
export function decodeTunnel(socket: Socket): DecodedTunnel {
    const decoder = createTunnelDecoder();
    let bytesRead = 0;
    let isEnded = false;
    const endOnce = (): void => {
        if (!isEnded) {
            isEnded = true;
            stream.push(null);
        }
    };
    const stream = Object.defineProperty(
        new Duplex({
            read: () => void socket.resume(),
            write: (chunk: Buffer, _encoding, callback) => void socket.write(chunk, callback),
            writev: (chunks, callback) => {
                // One packet, as on a direct connection.
                socket.cork();
                chunks.slice(0, -1).forEach(({ chunk }) => void socket.write(chunk as Buffer));
                socket.write(chunks.at(-1)?.chunk as Buffer, callback);
                socket.uncork();
            },
            final: callback => void socket.end(callback),
            destroy: (error, callback) => {
                socket.destroy();
                callback(error);
            },
        }),
        "bytesRead",
        { get: () => bytesRead },
    ) as EndpointStream;
    socket.on("data", (chunk: Buffer) => {
        try {
            for (const part of decoder.decode(chunk)) {
                bytesRead += part.length;
                if (!isEnded && !stream.push(part)) {
                    socket.pause();
                }
            }
        }
        catch (error) {
            stream.destroy(error as Error);
            return;
        }
        if (decoder.hasEnded()) {
            endOnce();
        }
    });
    socket.once("end", endOnce);
    // What becomes of the connection after the end of the endpoint takes nothing back.
    const destroyUnlessEnded = (error?: Error): void => {
        if (!decoder.hasEnded()) {
            stream.destroy(error);
        }
    };
    socket.on("error", destroyUnlessEnded);
    socket.once("close", () => destroyUnlessEnded());
    return { stream, hasEnded: decoder.hasEnded };
}
