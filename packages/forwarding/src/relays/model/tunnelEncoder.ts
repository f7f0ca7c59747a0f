import { PassThrough, Transform } from "node:stream";
import { FRAME_HEADER_BYTES, type TunnelFormat } from "./tunnelFormat.js";

const buildHeader = (bytes: number): Buffer => {
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(bytes);
    return header;
};

const createFrameEncoder = (): Transform =>
    new Transform({
        transform(chunk: Buffer, _encoding, callback) {
            this.push(buildHeader(chunk.length));
            callback(null, chunk);
        },
        flush(callback) {
            callback(null, buildHeader(0));
        },
    });

const encoders: Readonly<Record<TunnelFormat, () => Transform>> = {
    raw: () => new PassThrough(),
    framed: createFrameEncoder,
};

/** Creates a stream that encodes the bytes of an endpoint. It is to be ended only if the endpoint has ended its side. */
export const createTunnelEncoder = (format: TunnelFormat): Transform => encoders[format]();
