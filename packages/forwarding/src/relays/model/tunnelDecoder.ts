import { FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from "./tunnelFormat.js";

/** Decodes frames. Parts of a frame are passed on as they come, so that nothing but its header is held. */
export interface TunnelDecoder {
    /** Returns the payload in a chunk. Throws if the bytes are no frames. What follows the empty frame is ignored. */
    readonly decode: (chunk: Buffer) => readonly Buffer[];
    /** Returns whether the empty frame has come: the endpoint has ended its side, and all its bytes are there. */
    readonly hasEnded: () => boolean;
}

export function createTunnelDecoder(): TunnelDecoder {
    /** Bytes of the present frame that are still to come. */
    let leftBytes = 0;
    let length = 0;
    let headerBytes = 0;
    let hasEnded = false;
    const addHeaderByte = (byte: number): void => {
        length = length * 256 + byte;
        headerBytes += 1;
        if (headerBytes < FRAME_HEADER_BYTES) {
            return;
        }
        if (length > MAX_FRAME_BYTES) {
            throw new Error(`a frame of ${length} bytes from a relaying host exceeds ${MAX_FRAME_BYTES} bytes`);
        }
        hasEnded = length === 0;
        leftBytes = length;
        length = 0;
        headerBytes = 0;
    };
    return {
        decode: chunk => {
            const payload: Buffer[] = [];
            let position = 0;
            while (position < chunk.length && !hasEnded) {
                if (leftBytes === 0) {
                    addHeaderByte(chunk[position] ?? 0);
                    position += 1;
                    continue;
                }
                const part = chunk.subarray(position, position + leftBytes);
                payload.push(part);
                leftBytes -= part.length;
                position += part.length;
            }
            return payload;
        },
        hasEnded: () => hasEnded,
    };
}
