import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBatchTimer } from "../../../src/peers/model/batchTimer.js";

describe("createBatchTimer", () => {
    beforeEach(() => {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    });
    afterEach(() => {
        vi.useRealTimers();
    });
    // Guards against added assignments that are announced only with the batch of less urgent changes.
    it.each([
        { name: "once for several requests", calls: [[0, 50], [10, 50]], runs: [50] },
        { name: "at the earliest requested time", calls: [[0, 50], [10, 1]], runs: [11] },
        { name: "no later if a later time is requested", calls: [[0, 1], [0, 50]], runs: [1] },
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
