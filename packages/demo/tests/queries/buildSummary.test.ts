import type { LedgerEntry } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import type { LoadRecord } from "../../src/model/loadRecord.js";
import { buildSummary } from "../../src/queries/buildSummary.js";

const record = (fields: Partial<LoadRecord>): LoadRecord => ({
    who: "desk",
    what: "prompt",
    host: "host-a-1",
    requestId: "r1",
    lengthClass: "short",
    calledMs: 0,
    firstTokenMs: 100,
    answeredMs: 200,
    outcome: "answered",
    detail: "",
    ...fields,
});
const execution = (seq: number, idempotencyKey: string): LedgerEntry => ({
    seq,
    requestId: "",
    attemptId: "",
    idempotencyKey,
    action: "POST /dispatch",
    outcome: "executed",
});

describe("buildSummary", () => {
    it("reports percentiles by class", () => {
        const records = Array.from({ length: 100 }, (_unused, index) => record({ firstTokenMs: index + 1 }));
        const { lines, failures } = buildSummary(records, { entries: [], held: [] });
        expect(lines.find(line => line.startsWith("short"))?.split(/\s+/)).toEqual(["short", "100", "50", "95", "99"]);
        expect(failures).toEqual([]);
    });

    it.each<{ name: string; records: LoadRecord[]; entries: LedgerEntry[]; failure: RegExp; }>([
        {
            name: "an incomplete answer",
            records: [record({ outcome: "incomplete", detail: "token 3 is missing" })],
            entries: [],
            failure: /incomplete: token 3 is missing/,
        },
        {
            name: "a call that was executed twice",
            records: [],
            entries: [execution(1, "k1"), execution(2, "k2"), execution(3, "k1")],
            failure: /key k1 was executed 2 times/,
        },
    ])("fails on $name", ({ records, entries, failure }) => {
        const { failures } = buildSummary(records, { entries, held: [] });
        expect(failures).toHaveLength(1);
        expect(failures[0]).toMatch(failure);
    });
});
