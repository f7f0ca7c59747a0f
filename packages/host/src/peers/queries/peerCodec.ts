import type { PeerMessage } from "@currantrill/protocol";
import { Packr } from "msgpackr";
import { decodeFacts, encodeFacts, type FactRows } from "./factRows.js";

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

/** Encodes a message for the wire. */
export function encodePeerMessage(message: PeerMessage): Buffer {
    if (message.type === "facts" || message.type === "snapshot") {
        return packr.pack({ ...message, facts: encodeFacts(message.facts) });
    }
    return packr.pack(message);
}

/** Decodes a message. Throws if it is none; the connection is then closed. */
export function decodePeerMessage(data: Buffer): PeerMessage {
    const message = packr.unpack(data) as PeerMessage & { facts?: unknown; };
    if (message.type === "facts" || message.type === "snapshot") {
        return { ...message, facts: decodeFacts(message.facts as unknown as FactRows) };
    }
    return message;
}
