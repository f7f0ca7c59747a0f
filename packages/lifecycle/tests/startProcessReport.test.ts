import bunyan from "bunyan";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type ProcessReport, startProcessReport } from "../src/startProcessReport.js";

describe("startProcessReport", () => {
    beforeEach(() => void vi.useFakeTimers());
    afterEach(() => {
        vi.useRealTimers();
        vi.restoreAllMocks();
    });

    // Guards against a process that is killed or hangs without a line on its memory and delays, and against a report that
    // is itself an unexpected error: reading the memory needs a free file descriptor.
    it.each([
        { name: "with free descriptors", readRss: () => 64 * 1_048_576, rssMb: 64 },
        {
            name: "without free descriptors",
            readRss: () => {
                throw new Error("EMFILE: too many open files, uv_resident_set_memory");
            },
            rssMb: undefined,
        },
    ])("reports every 5 s $name", ({ readRss, rssMb }) => {
        vi.spyOn(process.memoryUsage, "rss").mockImplementation(readRss);
        const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });
        const reports: ProcessReport[] = [];
        const stop = startProcessReport({ log, describeState: () => ({}), onReport: report => reports.push(report) });
        vi.advanceTimersByTime(15_000);
        expect(reports.map(report => report.rssMb)).toEqual([rssMb, rssMb, rssMb]);
        expect(reports.every(report => report.heapMb <= report.heapLimitMb)).toBe(true);
        stop();
        vi.advanceTimersByTime(15_000);
        expect(reports).toHaveLength(3);
    });
});
