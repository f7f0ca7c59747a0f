import type { PeerMessage } from "@currantrill/protocol";
import { Packr } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeFacts, encodeFacts, type FactRows } from "./factRows.js";

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/**
 * Messages from this size on are compressed, because the rows of a batch repeat names of endpoints, models and hosts.
 */
const COMPRESSION_THRESHOLD_BYTES = 512;
/** Level 1 is the fastest of zlib. */
const COMPRESSION = { level: 1 };
/**
 * First byte of a compressed message. It is unassigned in MessagePack, so that no uncompressed message begins with it.
 */
const COMPRESSED_MARKER = 0xc1;
/** Largest size to which a received message may decompress. */
const MAX_INFLATED_BYTES = 64 * 1024 * 1024;

/** Encodes a message as MessagePack, with facts as rows, and compresses it from `COMPRESSION_THRESHOLD_BYTES` on. */
export function encodePeerMessage(message: PeerMessage): Buffer {
    const data = packr.pack(toWireForm(message));
    return data.length < COMPRESSION_THRESHOLD_BYTES
        ? data
        : Buffer.concat([Buffer.of(COMPRESSED_MARKER), deflateRawSync(data, COMPRESSION)]);
}

const toWireForm = (message: PeerMessage): unknown =>
    message.type === "facts" || message.type === "snapshot"
        ? { ...message, facts: encodeFacts(message.facts) }
        : message;

/** Decodes a message. Throws if the data is not an encoded message; the caller then closes the connection. */
export function decodePeerMessage(data: Buffer): PeerMessage {
    const packed = data[0] === COMPRESSED_MARKER
        ? inflateRawSync(data.subarray(1), { maxOutputLength: MAX_INFLATED_BYTES })
        : data;
    const message = packr.unpack(packed) as PeerMessage & { facts?: unknown; };
    if (message.type === "facts" || message.type === "snapshot") {
        return { ...message, facts: decodeFacts(message.facts as unknown as FactRows) };
    }
    return message;
}
