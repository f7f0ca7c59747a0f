import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startTimeout } from "../../../src/endpoints/model/startTimeout.js";

describe("startTimeout", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => {
        vi.restoreAllMocks();
        vi.useRealTimers();
    });

    // Guards against a silent endpoint that is given up only after its caller has disconnected: one short pause of this
    // process at the end of a wait made the whole wait begin anew. And against a pause that counts as silence.
    it.each([
        { name: "no pause", ms: 900, pausesAtMs: [], endsAfterMs: 900 },
        { name: "a pause at its end", ms: 900, pausesAtMs: [899], endsAfterMs: 1_200 },
        { name: "a pause at the end of its first timer", ms: 900, pausesAtMs: [299], endsAfterMs: 1_200 },
        { name: "two pauses", ms: 900, pausesAtMs: [899, 1_199], endsAfterMs: 1_500 },
        { name: "a pause shortly before the end of a probe", ms: 300, pausesAtMs: [290], endsAfterMs: 600 },
        { name: "a length that is no multiple of a timer", ms: 1_001, pausesAtMs: [1_000], endsAfterMs: 1_251 },
    ])("ends after the time in which the process runs: $name", ({ ms, pausesAtMs, endsAfterMs }) => {
        const readClock = performance.now.bind(performance);
        const startedAtMs = readClock();
        let pausedMs = 0;
        vi.spyOn(performance, "now").mockImplementation(() => readClock() + pausedMs);
        const endedAfterMs: number[] = [];
        startTimeout(ms, () => endedAfterMs.push(readClock() - startedAtMs));
        for (const pauseAtMs of pausesAtMs) {
            vi.advanceTimersByTime(pauseAtMs - (readClock() - startedAtMs));
            // Moves the clock that is read without running timers, which are late then.
            pausedMs += 100;
        }
        vi.advanceTimersByTime(10_000);
        expect(endedAfterMs).toEqual([endsAfterMs]);
    });
    // Guards against an attempt that is aborted although it has ended.
    it.each([0, 250, 650])("does not end once it is cancelled after %i ms", cancelledAtMs => {
        const onTimeout = vi.fn();
        const cancel = startTimeout(900, onTimeout);
        vi.advanceTimersByTime(cancelledAtMs);
        cancel();
        vi.advanceTimersByTime(10_000);
        expect(onTimeout).not.toHaveBeenCalled();
    });
    // Guards against an estimate without an end that keeps the process busy with timers, or that ends its attempt at once.
    it("does not end after an infinite time", () => {
        const onTimeout = vi.fn();
        const setTimer = vi.spyOn(globalThis, "setTimeout");
        startTimeout(Infinity, onTimeout);
        vi.advanceTimersByTime(10_000);
        expect(onTimeout).not.toHaveBeenCalled();
        expect(setTimer.mock.calls.length).toBeLessThan(100);
    });
});
