/** Starts and ends the processes of a system. Only development programs start processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const PACKAGE = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PRELOAD = join(PACKAGE, "dist", "preload.js");
/** Time that a host has for its graceful shutdown. */
const STOP_TIMEOUT_MS = 60_000;

export interface StartProcessOptions {
    readonly name: string;
    readonly program: string;
    readonly args: readonly string[];
    /** File that receives the output. */
    readonly logFile: string;
    /** Address of the relay for the process's connections. */
    readonly relayAddress?: string | undefined;
}

/** Starts a process. It ends when the demo's end of its standard input closes, however the demo ends. */
export function startProcess(options: StartProcessOptions): ChildProcess {
    const log = openSync(options.logFile, "a");
    const child = spawn(process.execPath, ["--import", PRELOAD, options.program, ...options.args], {
        stdio: ["pipe", log, log],
        // A process group of its own: Ctrl-C reaches the demo alone, which then stops the processes in order.
        detached: true,
        env: {
            ...process.env,
            DEMO_PROCESS: options.name,
            ...(options.relayAddress === undefined ? {} : { DEMO_RELAY: options.relayAddress }),
        },
    });
    closeSync(log);
    return child;
}

export const hasEnded = (child: ChildProcess): boolean => child.exitCode !== null || child.signalCode !== null;

/** Ends a process and waits for its exit. One that ignores SIGTERM for too long is killed. */
export async function stopProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
    if (hasEnded(child)) {
        return;
    }
    const ended = new Promise(resolve => child.once("exit", resolve));
    child.kill(signal);
    const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
    await ended;
    clearTimeout(timer);
}
