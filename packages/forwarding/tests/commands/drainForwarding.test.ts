import type { ForwardingSettings } from "@currantrill/settings";
import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { drainForwarding } from "../../src/commands/drainForwarding.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
const settings = { drain: { grace_ms: 8_000 } } as ForwardingSettings;

describe("drainForwarding", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against a host that is starved of processor time, handles its stop signal late and is killed at the end of
    // the grace time, with requests in flight that get no answer.
    it.each([
        { name: "handled at once", delayMs: 0, refusedAfterMs: 7_360 },
        { name: "handled 0.7 s late", delayMs: 700, refusedAfterMs: 6_660 },
        { name: "handled after a suspension of 5 s", delayMs: 5_000, refusedAfterMs: 6_360 },
    ])("gives requests in flight their final answer in the grace time of a signal $name", async ({
        delayMs,
        refusedAfterMs,
    }) => {
        const startedAtMs = performance.now();
        let answeredAfterMs: number | undefined;
        let closedAfterMs: number | undefined;
        const onStop = (): void => {
            answeredAfterMs = performance.now() - startedAtMs;
        };
        const callers = {
            drain: () => new Promise<void>(() => undefined),
            countPending: () => 1,
            failIncomplete: () => undefined,
            close: () => Promise.resolve(),
        };
        const close = (): Promise<void> => {
            closedAfterMs = performance.now() - startedAtMs;
            return Promise.resolve();
        };
        const exchanges = new Set([{ onStop }]);
        const drained = drainForwarding({ settings, log, exchanges }, { callers, close }, delayMs);
        await vi.advanceTimersByTimeAsync(8_000);
        await drained;
        expect(answeredAfterMs).toBeGreaterThanOrEqual(refusedAfterMs);
        expect(answeredAfterMs).toBeLessThan(refusedAfterMs + 40);
        expect(closedAfterMs).toBeLessThan(8_000 - Math.min(delayMs, 1_000));
    });

    // Guards against final answers that are cut because a throttled host does not run for a tenth of a second after it has
    // given them.
    it.each([100, 300])("waits until the final answers have been sent, which takes %i ms", async sendMs => {
        let answeredAtMs = Infinity;
        const onStop = (): void => {
            answeredAtMs = performance.now();
        };
        const isSent = (): boolean => performance.now() >= answeredAtMs + sendMs;
        let wasSent = false;
        const callers = {
            drain: () => new Promise<void>(() => undefined),
            countPending: () => isSent() ? 0 : 1,
            failIncomplete: () => undefined,
            close: () => {
                wasSent = isSent();
                return Promise.resolve();
            },
        };
        const servers = { callers, close: () => Promise.resolve() };
        const drained = drainForwarding({ settings, log, exchanges: new Set([{ onStop }]) }, servers, 0);
        await vi.advanceTimersByTimeAsync(8_000);
        await drained;
        expect(wasSent).toBe(true);
    });
});
