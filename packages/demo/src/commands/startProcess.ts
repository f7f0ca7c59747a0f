/** Starts and stops the processes of a demo system. Only development tools start processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const PACKAGE_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PRELOAD_SCRIPT = join(PACKAGE_DIRECTORY, "dist", "preload.js");
/** Time that a process has to exit after a signal before it is killed. It covers the graceful shutdown of a host. */
const STOP_TIMEOUT_MS = 60_000;

/** Program, arguments and log file of a process. */
export interface StartProcessOptions {
    readonly name: string;
    /** Path of the JavaScript file to run. */
    readonly program: string;
    readonly args: readonly string[];
    /** File to which standard output and standard error are appended. */
    readonly logFile: string;
    /** Address of the fault-injecting TCP proxy for the outgoing connections of the process. */
    readonly proxyAddress?: string | undefined;
}

/** Starts a process. It is killed when its standard input closes, so it also ends if the demo crashes (see `preload.ts`). */
export function startProcess(options: StartProcessOptions): ChildProcess {
    const log = openSync(options.logFile, "a");
    const child = spawn(process.execPath, ["--import", PRELOAD_SCRIPT, options.program, ...options.args], {
        stdio: ["pipe", log, log],
        // A separate process group, so that Ctrl-C reaches only the demo, which then stops the processes in order.
        detached: true,
        env: {
            ...process.env,
            DEMO_PROCESS: options.name,
            ...(options.proxyAddress === undefined ? {} : { DEMO_RELAY: options.proxyAddress }),
        },
    });
    closeSync(log);
    return child;
}

/** Whether a process has exited or was ended by a signal. */
export const hasExited = (child: ChildProcess): boolean => child.exitCode !== null || child.signalCode !== null;

/** Sends a signal to a process and waits for its exit. A process that does not exit in time is killed. */
export async function stopProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
    if (hasExited(child)) {
        return;
    }
    const exited = new Promise(resolve => child.once("exit", resolve));
    child.kill(signal);
    const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
    await exited;
    clearTimeout(timer);
}
