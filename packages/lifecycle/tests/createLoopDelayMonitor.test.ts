import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLoopDelayMonitor } from "../src/createLoopDelayMonitor.js";

/** Largest error of a measured delay. */
const TICK_MS = 100;

describe("createLoopDelayMonitor", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a grace time that is counted from the end of a delay: a starved host then outlives it, and is killed
    // with requests in flight.
    it.each([
        { name: "the loop is on time", delayMs: 0, afterMs: 0, expectedMs: 0 },
        { name: "the loop was blocked past a tick", delayMs: 700, afterMs: 0, expectedMs: 700 },
        { name: "the late tick has just run", delayMs: 700, afterMs: 20, expectedMs: 700 },
        { name: "the delay ended a while ago", delayMs: 700, afterMs: 80, expectedMs: 0 },
    ])("measures the delay if $name", ({ delayMs, afterMs, expectedMs }) => {
        const monitor = createLoopDelayMonitor();
        vi.advanceTimersByTime(500);
        // Moves the clock to the next tick and further without running timers.
        const dueAtMs = performance.now() + TICK_MS;
        const now = vi.spyOn(performance, "now").mockReturnValue(dueAtMs + delayMs);
        expect(monitor.getDelayMs()).toBe(delayMs);
        vi.advanceTimersByTime(TICK_MS);
        now.mockReturnValue(dueAtMs + delayMs + afterMs);
        expect(monitor.getDelayMs()).toBe(expectedMs);
        monitor.stop();
        now.mockRestore();
    });
    // Guards against a stop signal that seems to have come later than it did, so that a host takes requests for so much
    // longer: a drain leaves 0.2 s between the time until which it takes them and the time until which it may.
    it.each([120, 180, 240, 400])("measures a delay of %i ms to within 0.2 s", blockedMs => {
        const monitor = createLoopDelayMonitor();
        vi.advanceTimersByTime(500);
        const now = vi.spyOn(performance, "now").mockReturnValue(performance.now() + blockedMs);
        expect(blockedMs - monitor.getDelayMs()).toBeLessThan(200);
        monitor.stop();
        now.mockRestore();
    });
});
