import type { HostProcess } from "./hostProcess.js";

/** Runs a function at once and then at a fixed interval on the monotonic clock, until the process ends. */
export function runRepeatedly(process: HostProcess, intervalMs: number, run: () => void): void {
    run();
    process.setTimer(intervalMs, () => runRepeatedly(process, intervalMs, run));
}
