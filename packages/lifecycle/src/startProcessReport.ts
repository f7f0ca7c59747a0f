import type Logger from "bunyan";
import { getHeapStatistics } from "node:v8";

/** Interval of the lines, so that the log of a process that was killed ends with its memory a few seconds before. */
const REPORT_INTERVAL_MS = 5_000;
/** Interval of the timer whose lateness is measured. */
const TICK_MS = 1_000;
const BYTES_PER_MB = 1_048_576;

/** Resources of the process. Sizes are in MB of 1,048,576 bytes. */
export interface ProcessReport {
    /** Left out if the process has no free file descriptor, which reading it takes. */
    readonly rssMb?: number;
    readonly heapMb: number;
    /** Size of the heap at which the runtime ends the process. */
    readonly heapLimitMb: number;
    /** Longest delay of a timer since the last report: the time in which the process handled nothing else. */
    readonly loopDelayMs: number;
}

export interface ProcessReportOptions {
    readonly log: Logger;
    /** Returns further fields of the line. */
    readonly describeState: () => Readonly<Record<string, unknown>>;
    /** Called with each report, for metrics. */
    readonly onReport?: (report: ProcessReport) => void;
}

/** Writes the resources of the process to the log at intervals. Returns a function that stops the reports. */
export function startProcessReport({ log, describeState, onReport }: ProcessReportOptions): () => void {
    let lastTickMs = performance.now();
    let reportedAtMs = lastTickMs;
    let loopDelayMs = 0;
    const timer = setInterval(() => {
        const nowMs = performance.now();
        loopDelayMs = Math.max(loopDelayMs, nowMs - lastTickMs - TICK_MS);
        lastTickMs = nowMs;
        if (nowMs - reportedAtMs < REPORT_INTERVAL_MS) {
            return;
        }
        reportedAtMs = nowMs;
        const report = readReport(loopDelayMs, log);
        loopDelayMs = 0;
        onReport?.(report);
        log.info({ ...report, ...describeState() }, "host: alive");
    }, TICK_MS);
    timer.unref();
    return () => clearInterval(timer);
}

function readReport(loopDelayMs: number, log: Logger): ProcessReport {
    const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } = getHeapStatistics();
    return {
        ...readRss(log),
        heapMb: Math.round(heapBytes / BYTES_PER_MB),
        heapLimitMb: Math.round(heapLimitBytes / BYTES_PER_MB),
        loopDelayMs: Math.round(loopDelayMs),
    };
}

function readRss(log: Logger): Pick<ProcessReport, "rssMb"> {
    try {
        return { rssMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB) };
    }
    catch (error) {
        log.warn({ err: error }, "host: could not read the memory of the process");
        return {};
    }
}
