import { toPoolId, toRevision, toTicketNumber, toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import {
    applyDifference,
    type Configuration,
    diffConfiguration,
    joinDifferences,
    type ObjectKey,
    type StoredObject,
} from "../../src/index.js";

const build = (revision: number, pools: Record<string, number>): Configuration => {
    const objects = Object.entries(pools).map(([name, ticket]): [ObjectKey, StoredObject] => [`pool/${name}`, {
        ticket: toTicketNumber(ticket),
        body: { kind: "pool", name: toPoolId(name), owner: toWorkspaceId("desk"), serves: "engine" },
    }]);
    return { revision: toRevision(revision), objects: Object.fromEntries(objects) };
};

describe("differences guard against a peer that ends with a different configuration from the sender", () => {
    const chain = [
        build(1, { a: 1, b: 1 }),
        build(2, { a: 2, b: 1, c: 2 }),
        build(3, { b: 1, c: 2 }),
        build(4, { a: 4, b: 1 }),
    ];
    const differences = chain.slice(1).map((next, index) => diffConfiguration(chain[index]!, next));

    it.each([
        { name: "one step", from: 0, to: 1 },
        { name: "set and removed again", from: 0, to: 2 },
        { name: "removed and set again", from: 1, to: 3 },
        { name: "all", from: 0, to: 3 },
    ])("$name", ({ from, to }) => {
        const joined = joinDifferences(differences.slice(from, to))!;
        expect(applyDifference(chain[from]!, joined)).toEqual(chain[to]);
        expect(applyDifference(chain[to]!, joined)).toBeUndefined();
    });

    it("contains changed objects only", () => {
        expect(Object.keys(differences[0]!.set)).toEqual(["pool/a", "pool/c"]);
    });
});
