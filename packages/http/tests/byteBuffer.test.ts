import * as fc from "fast-check";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { afterEach, describe, expect, it, vi } from "vitest";
import { type ByteBudget, createByteBudget, createByteBuffer } from "../src/index.js";

const TOTAL_BYTES = 1_048_576;
const CHUNK_SIZES = [1, 2, 8, 64, 65_536];

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

afterEach(() => vi.restoreAllMocks());

/** Appends chunks of their own, like those of an HTTP parser. Returns whether all were accepted. */
function writeAll(append: (chunk: Buffer) => boolean, chunkBytes: number): boolean {
    let isAccepted = true;
    for (let bytes = 0; bytes < TOTAL_BYTES; bytes += chunkBytes) {
        isAccepted &&= append(Buffer.alloc(chunkBytes, bytes % 251));
    }
    return isAccepted;
}

function measureHeldBytes(): number {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

describe("createByteBuffer", () => {
    // Guards against a host whose memory or processor time is used up by a body in many small chunks.
    it.each(CHUNK_SIZES)("holds a small multiple of its bytes for chunks of %d bytes", chunkBytes => {
        const before = measureHeldBytes();
        const buffer = createByteBuffer({ maxBytes: TOTAL_BYTES });
        expect(writeAll(buffer.append, chunkBytes)).toBe(true);
        expect(measureHeldBytes() - before).toBeLessThan(3 * TOTAL_BYTES);
        expect(buffer.getLength()).toBe(TOTAL_BYTES);
    });
    it.each(CHUNK_SIZES)("copies each byte once as chunks arrive, for chunks of %d bytes", chunkBytes => {
        const buffer = createByteBuffer({ maxBytes: TOTAL_BYTES });
        const chunk = Buffer.alloc(chunkBytes);
        const set = vi.spyOn(Uint8Array.prototype, "set");
        const allocate = vi.spyOn(Buffer, "allocUnsafeSlow");
        for (let bytes = 0; bytes < TOTAL_BYTES; bytes += chunkBytes) {
            buffer.append(chunk);
        }
        expect(set.mock.calls.reduce((sum, [source]) => sum + source.length, 0)).toBe(TOTAL_BYTES);
        // Blocks of 1 KB to 64 KB.
        expect(allocate.mock.calls.length).toBeLessThanOrEqual(7 + TOTAL_BYTES / 65_536);
    });
    it.each(CHUNK_SIZES)("takes its memory from the budget for chunks of %d bytes, and returns it", chunkBytes => {
        const budget = createByteBudget(() => 2 * TOTAL_BYTES);
        const buffer = createByteBuffer({ maxBytes: TOTAL_BYTES, budget });
        expect(writeAll(buffer.append, chunkBytes)).toBe(true);
        expect(budget.getUsed()).toBe(TOTAL_BYTES);
        expect(buffer.append(Buffer.alloc(1))).toBe(false);
        buffer.clear();
        expect(budget.getUsed()).toBe(0);
        expect(buffer.getLength()).toBe(0);
    });
    it("refuses a chunk that the budget does not allow, and keeps what it has", () => {
        const budget: ByteBudget = createByteBudget(() => 2_000);
        const buffer = createByteBuffer({ maxBytes: 10_000, budget });
        expect(buffer.append(Buffer.alloc(1_000, 1))).toBe(true);
        expect(buffer.append(Buffer.alloc(2_000, 2))).toBe(false);
        expect(buffer.read()).toEqual(Buffer.alloc(1_000, 1));
    });
    it("returns the bytes in their order, whatever the chunks", () => {
        const chunks = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 });
        fc.assert(
            fc.property(chunks, fc.integer({ min: 0, max: 20_000 }), (parts, maxBytes) => {
                const buffer = createByteBuffer({ maxBytes });
                const accepted = parts.filter(part => buffer.append(part));
                expect(buffer.read()).toEqual(Buffer.concat(accepted));
                expect(buffer.getLength()).toBeLessThanOrEqual(maxBytes);
            }),
            { seed: 31, numRuns: 200 },
        );
    });
});
