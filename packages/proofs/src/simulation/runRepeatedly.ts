import type { HostProcess } from "./hostProcess.js";

/** Runs now and then again after each interval, until the process ends. */
export function runRepeatedly(process: HostProcess, intervalMs: number, run: () => void): void {
    run();
    process.setTimer(intervalMs, () => runRepeatedly(process, intervalMs, run));
}
