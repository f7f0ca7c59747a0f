import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createProgressWatch } from "../../src/endpoints/model/progressWatch.js";

describe("createProgressWatch guards against silent connections and against false alarms", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    const create = () => {
        const silence = vi.fn();
        const watch = createProgressWatch(silence);
        watch.expectBy(performance.now() + 100);
        return { silence, watch };
    };

    it.each([
        { name: "no progress", act: () => undefined, calls: 1 },
        {
            name: "progress before the deadline",
            act: (watch: ReturnType<typeof createProgressWatch>) => watch.expectBy(performance.now() + 200),
            calls: 0,
        },
        {
            name: "a caller that does not read",
            act: (watch: ReturnType<typeof createProgressWatch>) => watch.pause(),
            calls: 0,
        },
        {
            name: "a stopped watch",
            act: (watch: ReturnType<typeof createProgressWatch>) => watch.stop(),
            calls: 0,
        },
    ])("$name", async ({ act, calls }) => {
        const { silence, watch } = create();
        act(watch);
        await vi.advanceTimersByTimeAsync(150);
        expect(silence).toHaveBeenCalledTimes(calls);
        watch.stop();
    });

    it("takes data that was read right after a pause of the process as progress", async () => {
        const { silence, watch } = create();
        // The data arrives between the late timer and the check that follows it.
        setTimeout(() => setImmediate(() => watch.expectBy(performance.now() + 100)), 99);
        await vi.advanceTimersByTimeAsync(101);
        expect(silence).not.toHaveBeenCalled();
        watch.stop();
    });
});
