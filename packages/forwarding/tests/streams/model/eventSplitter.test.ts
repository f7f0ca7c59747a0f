import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createEventSplitter } from "../../../src/streams/model/eventSplitter.js";

const text = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\ndata: c\r\n\r\nid: 30\ndata: d\n\n";

describe("createEventSplitter", () => {
    // Guards against an incomplete event that is forwarded, and against changed bytes.
    it("yields the same events for any split of the bytes into chunks", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: text.length - 1 }), { maxLength: 12 }), splitOffsets => {
                const splitter = createEventSplitter();
                const ends = [...new Set([...splitOffsets, text.length])].sort((a, b) => a - b);
                const chunks = ends.map((end, index) => Buffer.from(text.slice(ends[index - 1] ?? 0, end)));
                const events = chunks.flatMap(chunk => splitter.push(chunk));
                expect(events.map(event => event.id)).toEqual([1, 2, undefined, 30]);
                expect(Buffer.concat(events.map(event => event.bytes)).toString()).toBe(text);
                expect(splitter.hasIncompleteEvent()).toBe(false);
            }),
            { seed: 20261204, numRuns: 200 },
        );
    });
    it("buffers an incomplete event", () => {
        const splitter = createEventSplitter();
        expect(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))).toHaveLength(1);
        expect(splitter.hasIncompleteEvent()).toBe(true);
    });
});
