import type { PeerMessage } from "@currantrill/protocol";
import { Packr } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeFacts, encodeFacts, type FactRows } from "./factRows.js";

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/** Messages from this size on are compressed; rows of one batch repeat names of endpoints, models and hosts. */
const COMPRESSED_FROM_BYTES = 512;
const COMPRESSION = { level: 1 };
/** First byte of a compressed message. msgpack never begins with it. */
const COMPRESSED_MARK = 0xc1;
const MAX_INFLATED_BYTES = 64 * 1024 * 1024;

/** Encodes a message for the wire. */
export function encodePeerMessage(message: PeerMessage): Buffer {
    const data = packr.pack(toWireForm(message));
    return data.length < COMPRESSED_FROM_BYTES
        ? data
        : Buffer.concat([Buffer.of(COMPRESSED_MARK), deflateRawSync(data, COMPRESSION)]);
}

const toWireForm = (message: PeerMessage): unknown =>
    message.type === "facts" || message.type === "snapshot"
        ? { ...message, facts: encodeFacts(message.facts) }
        : message;

/** Decodes a message. Throws if it is none; the connection is then closed. */
export function decodePeerMessage(data: Buffer): PeerMessage {
    const packed = data[0] === COMPRESSED_MARK
        ? inflateRawSync(data.subarray(1), { maxOutputLength: MAX_INFLATED_BYTES })
        : data;
    const message = packr.unpack(packed) as PeerMessage & { facts?: unknown; };
    if (message.type === "facts" || message.type === "snapshot") {
        return { ...message, facts: decodeFacts(message.facts as unknown as FactRows) };
    }
    return message;
}
