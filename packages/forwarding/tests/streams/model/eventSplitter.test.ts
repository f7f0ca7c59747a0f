import { createByteBudget } from "@currantrill/http";
import * as fc from "fast-check";
import { afterEach, describe, expect, it, vi } from "vitest";
import { createEventSplitter } from "../../../src/streams/model/eventSplitter.js";

afterEach(() => vi.restoreAllMocks());

const text = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\ndata: c\r\n\r\nid: 30\ndata: d\n\n";

/** Counts the bytes that buffers copy and convert to text from now on. */
function createByteCount(): { getBytes: () => number; } {
    const set = vi.spyOn(Uint8Array.prototype, "set");
    const concat = vi.spyOn(Buffer, "concat");
    const from = vi.spyOn(Buffer, "from");
    const convert = vi.spyOn(Buffer.prototype, "toString");
    return {
        getBytes: () =>
            [
                ...set.mock.calls.map(([source]) => source.length),
                ...concat.mock.results.map(({ value }) => (value as Buffer).length),
                ...from.mock.results.map(({ value }) => (value as Buffer).length),
                ...convert.mock.results.map(({ value }) => (value as string).length),
            ].reduce((sum, length) => sum + length, 0),
    };
}

describe("createEventSplitter", () => {
    // Guards against an incomplete event that is forwarded, and against changed bytes.
    it("yields the same events for any split of the bytes into chunks", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: text.length - 1 }), { maxLength: 12 }), splitOffsets => {
                const splitter = createEventSplitter({ maxBytes: 1_000_000 });
                const ends = [...new Set([...splitOffsets, text.length])].sort((a, b) => a - b);
                const chunks = ends.map((end, index) => Buffer.from(text.slice(ends[index - 1] ?? 0, end)));
                const events = chunks.flatMap(chunk => splitter.push(chunk) ?? []);
                expect(events.map(event => event.id)).toEqual([1, 2, undefined, 30]);
                expect(Buffer.concat(events.map(event => event.bytes)).toString()).toBe(text);
                expect(splitter.hasIncompleteEvent()).toBe(false);
            }),
            { seed: 20261204, numRuns: 200 },
        );
    });
    // Guards against a different reading of line ends than that of the whole text, at the borders of chunks.
    it("ends events at the same bytes as a search of the whole text", () => {
        const parts = fc.array(fc.constantFrom("\r", "\n", "a", "id: 1", "data: b"), { maxLength: 30 });
        fc.assert(
            fc.property(parts, fc.integer({ min: 1, max: 7 }), (texts, chunkBytes) => {
                const splitter = createEventSplitter({ maxBytes: 1_000 });
                const bytes = Buffer.from(texts.join(""));
                const events: string[] = [];
                for (let start = 0; start < bytes.length; start += chunkBytes) {
                    const pushed = splitter.push(bytes.subarray(start, start + chunkBytes)) ?? [];
                    events.push(...pushed.map(event => event.bytes.toString()));
                }
                expect(events).toEqual(bytes.toString().match(/[^]*?\r?\n\r?\n/g) ?? []);
            }),
            { seed: 31, numRuns: 1_000 },
        );
    });
    // Guards against work that grows with the square of the bytes of an incomplete event, which stops the event loop.
    it.each([1, 2, 8, 64, 65_536])("copies and converts each byte a few times for chunks of %d bytes", chunkBytes => {
        const totalBytes = 262_144;
        const splitter = createEventSplitter({ maxBytes: 2 * totalBytes });
        const chunk = Buffer.alloc(chunkBytes, "a");
        const count = createByteCount();
        for (let bytes = 0; bytes < totalBytes; bytes += chunkBytes) {
            splitter.push(chunk);
        }
        expect(splitter.push(Buffer.from("\n\n"))?.[0]?.bytes).toHaveLength(totalBytes + 2);
        expect(count.getBytes()).toBeLessThanOrEqual(4 * (totalBytes + 2));
    });
    // Guards against an event without end that is kept in memory.
    it("rejects an event that exceeds the limit or the budget, and returns its memory", () => {
        const budget = createByteBudget(() => 3_000);
        const limited = createEventSplitter({ maxBytes: 2_000, budget });
        expect(limited.push(Buffer.alloc(1_500, "a"))).toEqual([]);
        expect(limited.push(Buffer.alloc(1_500, "a"))).toBeUndefined();
        expect(createEventSplitter({ maxBytes: 2_000, budget }).push(Buffer.alloc(1_800, "a"))).toBeUndefined();
        limited.close();
        expect(budget.getUsed()).toBe(0);
    });
    it("buffers an incomplete event", () => {
        const splitter = createEventSplitter({ maxBytes: 1_000_000 });
        expect(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))).toHaveLength(1);
        expect(splitter.hasIncompleteEvent()).toBe(true);
    });
});
