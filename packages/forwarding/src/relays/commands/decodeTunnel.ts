import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { EndpointStream } from "../../endpoints/model/endpointSocket.js";
import { createTunnelDecoder } from "../model/tunnelDecoder.js";
import type { EndpointEnd } from "../model/tunnelFormat.js";

export interface DecodedTunnel {
    /** Bytes of the endpoint, and to it. Ends when the endpoint ends its side, or when the connection to the peer ends. */
    readonly stream: EndpointStream;
    /** Returns whether the relaying host has said that the endpoint itself has ended its side. */
    readonly hasEnded: () => boolean;
    /** Returns whether the connection to the peer has ended, and the endpoint's has not. */
    readonly isCut: () => boolean;
}

/** Decodes the frames of a relaying host. Bytes to the endpoint are sent as they are. */
export function decodeTunnel(socket: Socket): DecodedTunnel {
    const decoder = createTunnelDecoder();
    let bytesRead = 0;
    let isEnded = false;
    let isCut = false;
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
    // A mark that comes with the peer's response is read before the HTTP client listens to the stream.
    stream.on("error", () => undefined);
    const markHandlers: Readonly<Record<EndpointEnd | "none", () => void>> = {
        none: () => undefined,
        end: endOnce,
        reset: () => void stream.destroy(new Error("the endpoint has reset its connection to the relaying host")),
    };
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
        markHandlers[decoder.getEnd() ?? "none"]();
    });
    socket.once("end", () => {
        isCut = decoder.getEnd() === undefined;
        endOnce();
    });
    // What becomes of the connection after the end of the endpoint takes nothing back.
    const destroyUnlessEnded = (error?: Error): void => {
        if (decoder.getEnd() === undefined) {
            isCut ||= error !== undefined;
            stream.destroy(error);
        }
    };
    socket.on("error", destroyUnlessEnded);
    socket.once("close", () => destroyUnlessEnded());
    return { stream, hasEnded: () => decoder.getEnd() === "end", isCut: () => isCut };
}
