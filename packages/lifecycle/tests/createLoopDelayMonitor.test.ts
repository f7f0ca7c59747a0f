import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLoopDelayMonitor } from "../src/createLoopDelayMonitor.js";

describe("createLoopDelayMonitor", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a grace time that is counted from the end of a delay: a starved host then outlives it, and is killed
    // with requests in flight.
    it.each([
        { name: "the loop is on time", delayMs: 0, afterMs: 0, expectedMs: 0 },
        { name: "the loop was blocked past a tick", delayMs: 700, afterMs: 0, expectedMs: 700 },
        { name: "the late tick has just run", delayMs: 700, afterMs: 20, expectedMs: 700 },
        { name: "the delay ended a while ago", delayMs: 700, afterMs: 200, expectedMs: 0 },
    ])("measures the delay if $name", ({ delayMs, afterMs, expectedMs }) => {
        const monitor = createLoopDelayMonitor();
        vi.advanceTimersByTime(500);
        // Moves the clock to the next tick and further without running timers.
        const dueAtMs = performance.now() + 250;
        const now = vi.spyOn(performance, "now").mockReturnValue(dueAtMs + delayMs);
        expect(monitor.getDelayMs()).toBe(delayMs);
        vi.advanceTimersByTime(250);
        now.mockReturnValue(dueAtMs + delayMs + afterMs);
        expect(monitor.getDelayMs()).toBe(expectedMs);
        monitor.stop();
        now.mockRestore();
    });
});
