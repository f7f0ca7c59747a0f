import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createProgressWatchdog } from "../../src/endpoints/model/progressWatchdog.js";

describe("createProgressWatchdog guards against unresponsive connections and false timeouts", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    const startWatchdog = () => {
        const handleTimeout = vi.fn();
        const watchdog = createProgressWatchdog(handleTimeout);
        watchdog.setDeadline(performance.now() + 100);
        return { handleTimeout, watchdog };
    };

    it.each([
        { name: "no progress", applyChange: () => undefined, expectedTimeouts: 1 },
        {
            name: "progress before the deadline",
            applyChange: (watchdog: ReturnType<typeof createProgressWatchdog>) =>
                watchdog.setDeadline(performance.now() + 200),
            expectedTimeouts: 0,
        },
        {
            name: "a caller that does not read",
            applyChange: (watchdog: ReturnType<typeof createProgressWatchdog>) => watchdog.pause(),
            expectedTimeouts: 0,
        },
        {
            name: "a stopped watchdog",
            applyChange: (watchdog: ReturnType<typeof createProgressWatchdog>) => watchdog.stop(),
            expectedTimeouts: 0,
        },
    ])("$name", async ({ applyChange, expectedTimeouts }) => {
        const { handleTimeout, watchdog } = startWatchdog();
        applyChange(watchdog);
        await vi.advanceTimersByTimeAsync(150);
        expect(handleTimeout).toHaveBeenCalledTimes(expectedTimeouts);
        watchdog.stop();
    });

    it("counts data that is read right after a pause of the process as progress", async () => {
        const { handleTimeout, watchdog } = startWatchdog();
        // The data is read between the late timer and the second check, which runs in `setImmediate`.
        setTimeout(() => setImmediate(() => watchdog.setDeadline(performance.now() + 100)), 99);
        await vi.advanceTimersByTimeAsync(101);
        expect(handleTimeout).not.toHaveBeenCalled();
        watchdog.stop();
    });
});
