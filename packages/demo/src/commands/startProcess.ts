/** Starts one process of the system and reads its first line. Only development programs start processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

export interface StartedProcess {
    readonly child: ChildProcess;
    readonly pid: number;
    readonly port: number;
}

/** Starts a stand-in and waits for its `{"ready","port"}` line. */
export async function startStandin(program: string, args: readonly string[]): Promise<StartedProcess> {
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    const port = await new Promise<number>((resolve, reject) => {
        child.once(
            "exit",
            code => reject(new Error(`${args.join(" ")} exited with ${String(code)} before it was ready`)),
        );
        createInterface({ input: child.stdout }).once(
            "line",
            line => resolve((JSON.parse(line) as { port: number; }).port),
        );
    });
    return { child, pid: child.pid ?? 0, port };
}

/** Ends a process and waits for its exit. */
export function stopProcess(child: ChildProcess, signal: NodeJS.Signals = "SIGTERM"): Promise<void> {
    return new Promise(resolve => {
        if (child.exitCode !== null || child.signalCode !== null) {
            resolve();
            return;
        }
        child.once("exit", () => resolve());
        child.kill(signal);
    });
}
