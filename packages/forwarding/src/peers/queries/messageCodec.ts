/** Framing of messages between hosts: MessagePack arrays that begin with the layout version and the kind. */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false });
/** Incremented with each change of the layout; messages with another layout version are ignored. */
const LAYOUT_VERSION = 4;

/** Kinds of messages, as numbers on the wire. */
export const messageKinds = { state: 0, digest: 1, query: 2, answer: 3, permitQuery: 4, permitAnswer: 5 } as const;
export type MessageKind = keyof typeof messageKinds;

const kindNames = new Map<unknown, MessageKind>(
    Object.entries(messageKinds).map(([name, number]) => [number, name as MessageKind]),
);

/** A message whose fields have not been decoded. */
export interface RawMessage {
    readonly kind: MessageKind;
    readonly fields: readonly unknown[];
}

/** Encodes a message. */
export const encodeMessage = (kind: MessageKind, fields: readonly unknown[]): Buffer =>
    packr.pack([LAYOUT_VERSION, messageKinds[kind], ...fields]);

/** Decodes the framing of a message. Returns `undefined` if the data is not a message of this layout version. */
export function decodeMessage(data: Buffer): RawMessage | undefined {
    const [version, number, ...fields] = decodeArray(data) ?? [];
    const kind = kindNames.get(number);
    return version === LAYOUT_VERSION && kind !== undefined ? { kind, fields } : undefined;
}

function decodeArray(data: Buffer): readonly unknown[] | undefined {
    try {
        const value: unknown = packr.unpack(data);
        return Array.isArray(value) ? value : undefined;
    }
    catch {
        // The datagram is not MessagePack, for example from another program. The caller counts and logs it.
        return undefined;
    }
}
