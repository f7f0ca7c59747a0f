import { endMarks, type EndpointEnd, FRAME_HEADER_BYTES, MAX_FRAME_BYTES } from "./tunnelFormat.js";

/** Decodes frames. Parts of a frame are passed on as they come, so that nothing but its header is held. */
export interface TunnelDecoder {
    /** Returns the payload in a chunk. Throws if the bytes are no frames. What follows a mark is ignored. */
    readonly decode: (chunk: Buffer) => readonly Buffer[];
    /** Returns how the endpoint has ended its connection, once the mark has come, and with it all bytes. */
    readonly getEnd: () => EndpointEnd | undefined;
}

export function createTunnelDecoder(): TunnelDecoder {
    /** Bytes of the present frame that are still to come. */
    let leftBytes = 0;
    let length = 0;
    let headerBytes = 0;
    let end: EndpointEnd | undefined;
    const addHeaderByte = (byte: number): void => {
        length = length * 256 + byte;
        headerBytes += 1;
        if (headerBytes < FRAME_HEADER_BYTES) {
            return;
        }
        end = length === endMarks.end ? "end" : length === endMarks.reset ? "reset" : undefined;
        if (end === undefined && length > MAX_FRAME_BYTES) {
            throw new Error(`a frame of ${length} bytes from a relaying host exceeds ${MAX_FRAME_BYTES} bytes`);
        }
        leftBytes = length;
        length = 0;
        headerBytes = 0;
    };
    return {
        decode: chunk => {
            const payload: Buffer[] = [];
            let position = 0;
            while (position < chunk.length && end === undefined) {
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
        getEnd: () => end,
    };
}
