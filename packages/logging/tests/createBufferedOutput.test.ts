import { Writable } from "node:stream";
import { describe, expect, it } from "vitest";
import { createBufferedOutput } from "../src/createLog.js";

const MB = 1_048_576;
/** Most that is held for a reader that has stopped: one batch in the stream, and one that waits for it. */
const MAX_HELD_BYTES = 9 * MB;

/** An output whose reader has stopped until `resume` is called. */
function createStoppedOutput(): { output: Writable; resume: () => void; getText: () => string; } {
    const chunks: string[] = [];
    let isResumed = false;
    let pending = (): void => undefined;
    const output = new Writable({
        write: (chunk: Buffer, _encoding, callback) => {
            chunks.push(chunk.toString());
            if (isResumed) {
                callback();
                return;
            }
            pending = () => callback();
        },
    });
    return {
        output,
        resume: () => {
            isResumed = true;
            pending();
        },
        getText: () => chunks.join(""),
    };
}

describe("createBufferedOutput", () => {
    // Guards against a process that runs out of memory while nobody reads its output: 4,000 lines that quote paths of 60 KB
    // are more than its heap.
    it.each([
        { name: "long lines", length: 60_000, count: 4_000 },
        { name: "short lines", length: 300, count: 40_000 },
        { name: "a line longer than the buffer", length: 5 * MB, count: 3 },
    ])("holds a bounded number of bytes and counts what it drops ($name)", async ({ length, count }) => {
        const { output, resume, getText } = createStoppedOutput();
        const buffered = createBufferedOutput(output);
        buffered.write(`${"f".repeat(20_000)}\n`);
        // Fills the stream, so that further lines wait.
        await waitUntil(() => getText().length > 0);
        for (let index = 0; index < count; index += 1) {
            buffered.write(`${"a".repeat(length)}\n`);
        }
        resume();
        await waitUntil(() => getText().includes("log: lines dropped"));
        const text = getText();
        const kept = text.split("\n").filter(line => line.startsWith("a")).length;
        expect(Buffer.byteLength(text)).toBeLessThan(MAX_HELD_BYTES);
        expect(/"dropped":(\d+)/.exec(text)?.[1]).toBe(String(count - kept));
    });
});

async function waitUntil(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}
