import { describe, expect, it } from "vitest";
import type { TableChanges, TableRow } from "../../../src/ports/tableSource.js";
import { adoptSnapshot, applyChanges, createTableReplica } from "../../../src/replicas/model/tableReplica.js";

const put = (key: string, version: number): TableRow => ({ key, version, value: Buffer.from(`${key}@${version}`) });
const removal = (key: string, version: number): TableRow => ({ key, version });

const known = applyChanges(createTableReplica("t"), { version: 10, rows: [put("a", 4), put("b", 10)] }).replica;

interface Case {
    readonly name: string;
    readonly changes: TableChanges;
    /** Versions of the rows afterwards. */
    readonly rows: Readonly<Record<string, number>>;
    readonly changed: readonly string[];
}

describe("applyChanges", () => {
    const cases: readonly Case[] = [
        {
            // Guards against a configuration that stays at the first of several changes in one response of the feed.
            name: "takes the newest of several changes of one row",
            changes: { version: 15, rows: [put("a", 11), put("a", 12), put("a", 14)] },
            rows: { a: 14, b: 10 },
            changed: ["a@14"],
        },
        {
            name: "keeps a row with a newer known version",
            changes: { version: 12, rows: [put("b", 9)] },
            rows: { a: 4, b: 10 },
            changed: [],
        },
        {
            name: "removes a row",
            changes: { version: 12, rows: [removal("a", 12)] },
            rows: { b: 10 },
            changed: ["a@12"],
        },
        {
            // Guards against a removed row that an answer from before its removal brings back for good.
            name: "ignores an earlier change of a row that is no longer there",
            changes: { version: 9, rows: [put("c", 9)] },
            rows: { a: 4, b: 10 },
            changed: [],
        },
        {
            name: "adds a row that was removed and is registered again",
            changes: { version: 12, rows: [put("c", 12)] },
            rows: { a: 4, b: 10, c: 12 },
            changed: ["c@12"],
        },
        {
            name: "ignores the removal of an unknown row",
            changes: { version: 12, rows: [removal("z", 5)] },
            rows: { a: 4, b: 10 },
            changed: [],
        },
    ];
    it.each(cases)("$name", ({ changes, rows, changed }) => {
        const step = applyChanges(known, changes);
        expect(Object.fromEntries([...step.replica.rows].map(([key, row]) => [key, row.version]))).toEqual(rows);
        expect(step.changed.map(row => `${row.key}@${row.version}`)).toEqual(changed);
        expect(step.replica.version).toBe(Math.max(known.version, changes.version));
    });
});

describe("adoptSnapshot", () => {
    // Guards against a stale read that restores a removed key or endpoint.
    it("refuses a snapshot that is older than the replica", () => {
        expect(adoptSnapshot(known, { version: 9, rows: [put("c", 9)] })).toBeUndefined();
    });
    it("removes the rows that a newer snapshot lacks", () => {
        const step = adoptSnapshot(known, { version: 20, rows: [put("b", 10)] });
        expect([...step?.replica.rows.keys() ?? []]).toEqual(["b"]);
        expect(step?.changed).toEqual([{ key: "a", version: 20 }]);
        expect(step?.replica.version).toBe(20);
    });
});
