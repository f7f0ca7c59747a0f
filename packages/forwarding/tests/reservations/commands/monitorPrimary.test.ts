import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { EndpointReport } from "../../../src/ports/index.js";
import { monitorPrimary } from "../../../src/reservations/commands/monitorPrimary.js";

const report = {} as EndpointReport;
type Probe = EndpointReport | "not_probed" | undefined;

describe("monitorPrimary", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => void vi.useRealTimers());

    // Guards against memory that stays reserved at helpers for seconds after the primary endpoint of a prompt has gone,
    // and against releasing it while the endpoint still replies.
    it.each<{ name: string; probes: Probe[]; releasedAfterMs: number | undefined; }>([
        { name: "an endpoint that has gone", probes: [undefined, undefined], releasedAfterMs: 1_600 },
        { name: "one that goes later", probes: [report, undefined, undefined], releasedAfterMs: 2_400 },
        { name: "one that replies", probes: [report, report, report], releasedAfterMs: undefined },
        {
            name: "one that misses single probes",
            probes: [undefined, report, undefined, report],
            releasedAfterMs: undefined,
        },
        { name: "one that this host cannot probe", probes: ["not_probed", "not_probed"], releasedAfterMs: undefined },
    ])("handles $name", async ({ probes, releasedAfterMs }) => {
        const startedAtMs = performance.now();
        const releasedAtMs: number[] = [];
        const left = [...probes];
        const stop = monitorPrimary({
            hasStalled: () => false,
            probe: () => Promise.resolve(left.length === 0 ? report : left.shift()),
            onUnresponsive: () => releasedAtMs.push(performance.now() - startedAtMs),
        });
        await vi.advanceTimersByTimeAsync(10_000);
        stop();
        expect(releasedAtMs).toEqual(releasedAfterMs === undefined ? [] : [releasedAfterMs]);
    });
    // Guards against probes, and a release, after the attempt has ended.
    it("stops with the attempt, also while a probe runs", async () => {
        const probe = vi.fn(() => new Promise<Probe>(resolve => void setTimeout(() => resolve(undefined), 300)));
        const onUnresponsive = vi.fn();
        const stop = monitorPrimary({ probe, hasStalled: () => false, onUnresponsive });
        await vi.advanceTimersByTimeAsync(2_000);
        stop();
        await vi.advanceTimersByTimeAsync(10_000);
        expect(probe).toHaveBeenCalledTimes(2);
        expect(onUnresponsive).not.toHaveBeenCalled();
    });
});
