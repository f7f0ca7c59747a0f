import { describe, expect, it } from "vitest";
import { readServerSentEvents } from "../src/index.js";

async function* streamRepeated(text: string, count: number): AsyncGenerator<Uint8Array> {
    const chunk = Buffer.from(text);
    for (let index = 0; index < count; index += 1) {
        yield await Promise.resolve(chunk);
    }
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<string[]> {
    const events: string[] = [];
    for await (const event of readServerSentEvents(body)) {
        events.push(event);
    }
    return events;
}

describe("readServerSentEvents", () => {
    // Guards against an event without end that is kept in memory.
    it.each(["a", "data: a\n"])("rejects an event of %j without end", async text => {
        await expect(readAll(streamRepeated(text, 1_200_000 / text.length * 7))).rejects.toThrow("max buffer size");
    });
    it("reads events in chunks of one byte", async () => {
        const parts = [...Buffer.from("data: a\n\ndata: b\n\n")].map(byte => Buffer.of(byte));
        const body = (async function*() {
            yield* await Promise.resolve(parts);
        })();
        expect(await readAll(body)).toEqual(["a", "b"]);
    });
});
