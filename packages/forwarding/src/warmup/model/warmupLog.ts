import type Logger from "bunyan";

/** Period in which the number of lines is limited. */
const PERIOD_MS = 10_000;
/** Most lines in a period. A whole failure domain of the largest fleets has more than a hundred endpoints. */
const MAX_LINES = 30;

/** Writes log lines with the prefix `warmup:`, a limited number of them. */
export interface WarmupLog {
    readonly write: (level: "info" | "warn", fields: object, text: string, nowMs: number) => void;
}

/** Creates the log. The first line after lines that were not written carries their number. */
export function createWarmupLog(log: Logger): WarmupLog {
    let periodStartedAtMs = -Infinity;
    let lines = 0;
    let omitted = 0;
    return {
        write: (level, fields, text, nowMs) => {
            if (nowMs - periodStartedAtMs >= PERIOD_MS) {
                periodStartedAtMs = nowMs;
                lines = 0;
            }
            if (lines >= MAX_LINES) {
                omitted += 1;
                return;
            }
            lines += 1;
            log[level](omitted === 0 ? fields : { ...fields, omitted }, `warmup: ${text}`);
            omitted = 0;
        },
    };
}
