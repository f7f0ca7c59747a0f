import { describe, expect, it } from "vitest";
import { createThrottledLog } from "../src/index.js";

describe("createThrottledLog", () => {
    // Guards against a log that fills with the same line while an event repeats on each turn of the event loop, and against
    // one that does not say how often it occurred.
    it("writes one line for each interval, with the number of events", () => {
        const lines: unknown[] = [];
        let nowMs = 0;
        const log = createThrottledLog({
            intervalMs: 1_000,
            write: (fields, count) => lines.push({ ...fields, count }),
            getNowMs: () => nowMs,
        });
        for (nowMs = 0; nowMs < 2_500; nowMs += 1) {
            log({ atMs: nowMs });
        }
        expect(lines).toEqual([{ atMs: 0, count: 1 }, { atMs: 1_000, count: 1_000 }, { atMs: 2_000, count: 1_000 }]);
    });
});
