import { PassThrough, Transform } from "node:stream";
import { endMarks, type EndpointEnd, FRAME_HEADER_BYTES, type TunnelFormat } from "./tunnelFormat.js";

/** Encodes the bytes of an endpoint for the host that asked for the connection. */
export interface TunnelEncoder {
    readonly stream: Transform;
    /** Ends the stream, with a mark if the format has one. It is only to be called if the endpoint has ended in this way. */
    readonly end: (end: EndpointEnd) => void;
    /** Whether the format says that an endpoint has reset its connection. */
    readonly marksResets: boolean;
}

const buildHeader = (length: number): Buffer => {
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(length);
    return header;
};

function createRawEncoder(): TunnelEncoder {
    const stream = new PassThrough();
    return { stream, end: () => void stream.end(), marksResets: false };
}

function createFrameEncoder(): TunnelEncoder {
    let mark: EndpointEnd = "end";
    const stream = new Transform({
        transform(chunk: Buffer, _encoding, callback) {
            this.push(buildHeader(chunk.length));
            callback(null, chunk);
        },
        flush(callback) {
            callback(null, buildHeader(endMarks[mark]));
        },
    });
    return {
        stream,
        end: end => {
            mark = end;
            stream.end();
        },
        marksResets: true,
    };
}

const encoders: Readonly<Record<TunnelFormat, () => TunnelEncoder>> = {
    raw: createRawEncoder,
    framed: createFrameEncoder,
};

export const createTunnelEncoder = (format: TunnelFormat): TunnelEncoder => encoders[format]();
