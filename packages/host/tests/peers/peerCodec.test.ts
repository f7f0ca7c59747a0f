import type { PeerMessage, VersionedFact } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { decodePeerMessage, encodePeerMessage } from "../../src/peers/queries/peerCodec.js";

const facts = (count: number): VersionedFact[] =>
    Array.from({ length: count }, (_unused, index) => ({
        key: `stop/e${index}`,
        origin: "a-1",
        incarnation: "run",
        sequence: 1_700_000_000_000 + index,
        fact: { kind: "stop", endpoint: `e${index}`, lendEpoch: 1, reason: "maintenance" },
    })) as unknown as VersionedFact[];

describe("peerCodec", () => {
    it.each([
        { name: "ping", message: { type: "ping", sequence: 1, revision: 2 } },
        { name: "few facts", message: { type: "facts", facts: facts(2) } },
        { name: "many facts, compressed", message: { type: "facts", facts: facts(200) } },
        { name: "no facts", message: { type: "facts", facts: [] } },
    ])("decodes what it has encoded: $name", ({ message }) => {
        const data = encodePeerMessage(message as unknown as PeerMessage);
        expect(decodePeerMessage(data)).toEqual(message);
    });

    it("compresses repeated values", () => {
        const size = (count: number) => encodePeerMessage({ type: "facts", facts: facts(count) }).length;
        expect(size(200)).toBeLessThan(20 * size(2));
    });

    it.each([{ name: "empty", data: [] }, { name: "invalid compressed data", data: [0xc1, 1, 2] }])(
        "throws for data that is not a message: $name",
        ({ data }) => {
            expect(() => decodePeerMessage(Buffer.from(data)).type).toThrow();
        },
    );
});
