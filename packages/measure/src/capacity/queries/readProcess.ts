/** Processor time and memory of a process, from `/proc`. */
import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;

export interface ProcessUse {
    readonly processorSeconds: number;
    readonly megabytes: number;
}

/** Reads the use of a running process. Throws if it has ended. */
export function readProcess(pid: number): ProcessUse {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
    return { processorSeconds: ticks / TICKS_PER_SECOND, megabytes: kilobytes / KILOBYTES_PER_MEGABYTE };
}
