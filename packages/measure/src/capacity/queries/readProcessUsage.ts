/** Reads the processor time and memory of a process from `/proc`. */
import { readFileSync } from "node:fs";

/** Unit of processor times in `/proc/<pid>/stat`. */
const TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Resource usage of a process. */
export interface ProcessUsage {
    /** User and system time since the start of the process. */
    readonly processorSeconds: number;
    /** Resident memory. */
    readonly megabytes: number;
}

/** Reads the usage of a running process. Throws if it has ended. */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    // Fields after the command in parentheses; 11 and 12 are the user and system time.
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
    return { processorSeconds: ticks / TICKS_PER_SECOND, megabytes: kilobytes / KILOBYTES_PER_MEGABYTE };
}
