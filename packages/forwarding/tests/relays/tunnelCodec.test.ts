import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createTunnelDecoder } from "../../src/relays/model/tunnelDecoder.js";
import { createTunnelEncoder } from "../../src/relays/model/tunnelEncoder.js";
import {
    type EndpointEnd,
    FRAME_HEADER_BYTES,
    MAX_FRAME_BYTES,
    parseTunnelFormat,
} from "../../src/relays/model/tunnelFormat.js";

/** Encodes chunks of an endpoint, and its end. */
async function encode(chunks: readonly Uint8Array[], end: EndpointEnd = "end"): Promise<Buffer> {
    const encoder = createTunnelEncoder("framed");
    chunks.forEach(chunk => void encoder.stream.write(chunk));
    encoder.end(end);
    const parts: Buffer[] = [];
    for await (const part of encoder.stream) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts);
}

const split = (bytes: Buffer, length: number): Buffer[] =>
    Array.from(
        { length: Math.ceil(bytes.length / length) },
        (_, index) => bytes.subarray(index * length, (index + 1) * length),
    );

const chunkLists = fc.array(fc.uint8Array({ minLength: 1, maxLength: 300 }), { maxLength: 8 });

const ends = fc.constantFrom<EndpointEnd>("end", "reset");

describe("the frames of a relayed connection", () => {
    // Guards against bytes that are lost, repeated or taken for a length, wherever the network divides them.
    it("give the same bytes in parts of any length, and the end", async () => {
        await fc.assert(
            fc.asyncProperty(chunkLists, fc.integer({ min: 1, max: 64 }), ends, async (chunks, length, end) => {
                const decoder = createTunnelDecoder();
                const decoded = split(await encode(chunks, end), length).flatMap(part => decoder.decode(part));
                expect(Buffer.concat(decoded).equals(Buffer.concat(chunks))).toBe(true);
                expect(decoder.getEnd()).toBe(end);
            }),
        );
    });
    // Guards against a connection that breaks off and is taken for one that the endpoint has ended.
    it("have no end while any byte is missing", async () => {
        await fc.assert(
            fc.asyncProperty(chunkLists, fc.nat(), ends, async (chunks, missing, end) => {
                const encoded = await encode(chunks, end);
                const decoder = createTunnelDecoder();
                decoder.decode(encoded.subarray(0, encoded.length - 1 - missing % encoded.length));
                expect(decoder.getEnd()).toBeUndefined();
            }),
        );
    });
    // Guards against memory or work that grows with more than the bytes of a frame.
    it.each([1, 2, 8, 64, 65_536])("hold nothing of a frame that comes in parts of %i bytes", async length => {
        const encoded = await encode([Buffer.alloc(65_536, "x")]);
        const decoder = createTunnelDecoder();
        const parts = split(encoded, length);
        const decoded = parts.map(part => decoder.decode(part).reduce((sum, each) => sum + each.length, 0));
        decoded.forEach((bytes, index) => expect(bytes).toBeLessThanOrEqual(parts[index]!.length));
        expect(decoded.reduce((sum, bytes) => sum + bytes, 0)).toBe(65_536);
    });
    // Guards against a connection that waits for gigabytes, because its bytes are no frames.
    it.each([
        { name: "a longer frame", bytes: Buffer.from([0, 0x10, 0, 1]) },
        { name: "a response", bytes: Buffer.from("HTTP/1.1 503 Service Unavailable") },
    ])("are not $name", ({ bytes }) => {
        expect(bytes.readUInt32BE()).toBeGreaterThan(MAX_FRAME_BYTES);
        expect(bytes.length).toBeGreaterThanOrEqual(FRAME_HEADER_BYTES);
        expect(() => createTunnelDecoder().decode(bytes)).toThrow("exceeds 1048576 bytes");
    });
    // Guards against frames to or from a build that does not know them.
    it.each([
        { header: undefined, format: "raw" },
        { header: "framed", format: "framed" },
        { header: "framed, raw", format: "raw" },
        { header: "compressed", format: "raw" },
        { header: ["framed", "framed"], format: "raw" },
    ])("are used only where a host names them: $header", ({ header, format }) => {
        expect(parseTunnelFormat(header)).toBe(format);
    });
});
