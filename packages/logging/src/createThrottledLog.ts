export interface ThrottledLogOptions {
    /** Shortest time between two lines, in milliseconds. */
    readonly intervalMs: number;
    /** Writes a line. `count` is the number of events since the line before. */
    readonly write: (fields: Readonly<Record<string, unknown>>, count: number) => void;
    /** Returns the time on a monotonic clock, in milliseconds. */
    readonly getNowMs?: () => number;
}

/**
 * Creates a function that logs events which may come thousands of times a second. The first one is written at once; those
 * within the interval after a line are only counted, and the next line has their number.
 */
export function createThrottledLog(
    { intervalMs, write, getNowMs = () => performance.now() }: ThrottledLogOptions,
): (fields: Readonly<Record<string, unknown>>) => void {
    let writtenAtMs = -Infinity;
    let count = 0;
    return fields => {
        count += 1;
        const nowMs = getNowMs();
        if (nowMs - writtenAtMs < intervalMs) {
            return;
        }
        writtenAtMs = nowMs;
        write(fields, count);
        count = 0;
    };
}
