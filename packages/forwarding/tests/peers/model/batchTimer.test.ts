import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBatchTimer } from "../../../src/peers/model/batchTimer.js";

describe("createBatchTimer", () => {
    beforeEach(() => {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    });
    afterEach(() => {
        vi.useRealTimers();
    });
    // Guards against news of added work that waits for the batch of less urgent changes.
    it.each([
        { name: "once for several", calls: [[0, 50], [10, 50]], runs: [50] },
        { name: "at the earliest time asked for", calls: [[0, 50], [10, 1]], runs: [11] },
        { name: "not later for a later time", calls: [[0, 1], [0, 50]], runs: [1] },
        { name: "again after it has run", calls: [[0, 5], [10, 5]], runs: [5, 15] },
    ])("runs $name", ({ calls, runs }) => {
        const startMs = performance.now();
        const times: number[] = [];
        const timer = createBatchTimer(() => times.push(performance.now() - startMs));
        for (const [atMs = 0, withinMs = 0] of calls) {
            vi.advanceTimersByTime(startMs + atMs - performance.now());
            timer.schedule(withinMs);
        }
        vi.advanceTimersByTime(200);
        expect(times).toEqual(runs);
    });
});
