import { findFreePorts } from "@currantrill/standins";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, describe, expect, it } from "vitest";

const program = join(import.meta.dirname, "..", "..", "bin", "currantrilld.js");
const children: ChildProcess[] = [];
afterEach(() => children.splice(0).forEach(child => child.kill("SIGKILL")));

interface Daemon {
    readonly child: ChildProcess;
    /** Resolves with the exit code or the signal. */
    readonly ended: Promise<number | string | null>;
    /** Resolves when the output has the text. */
    readonly awaitOutput: (text: string) => Promise<void>;
}

async function startDaemon(): Promise<Daemon> {
    const [callers = 0, operators = 0, peers = 0, platform = 0] = await findFreePorts(4);
    const path = join(mkdtempSync(join(tmpdir(), "currantrilld-")), "host.toml");
    writeFileSync(
        path,
        `host_id = "h-1"
failure_domain = "a"
operator_key = "operator-key"
seeds = []
[listen]
callers = "127.0.0.1:${callers}"
operators = "127.0.0.1:${operators}"
peers = "127.0.0.1:${peers}"
[platform]
url = "http://127.0.0.1:${platform}"
timeout_ms = 200
[limits]
default_timeout_ms = 1000
max_timeout_ms = 1000
[drain]
notice_ms = 500
[routing]
policy = "adaptive"
short_request_weight = 0.8
`,
    );
    const child = spawn(process.execPath, [program, "--settings", path], { stdio: ["ignore", "pipe", "inherit"] });
    children.push(child);
    let output = "";
    child.stdout.on("data", chunk => {
        output += String(chunk);
    });
    const ended = new Promise<number | string | null>(resolve =>
        child.once("exit", (code, signal) => resolve(code ?? signal))
    );
    const awaitOutput = async (text: string): Promise<void> => {
        while (!output.includes(text)) {
            expect(child.exitCode, "the daemon has ended").toBeNull();
            expect(child.signalCode, "the daemon has ended").toBeNull();
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    };
    return { child, ended, awaitOutput };
}

describe("currantrilld", () => {
    // Guards against a second SIGTERM, or a SIGHUP, that ends the daemon at once with all requests in flight.
    it.each(
        [
            { name: "SIGTERM", signals: ["SIGTERM"] },
            { name: "SIGTERM twice", signals: ["SIGTERM", "SIGTERM"] },
            { name: "SIGHUP, then SIGTERM", signals: ["SIGHUP", "SIGTERM"] },
        ] as const,
    )("shuts down gracefully after $name", async ({ signals }) => {
        const { child, ended, awaitOutput } = await startDaemon();
        await awaitOutput("host: started");
        for (const signal of signals) {
            child.kill(signal);
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        await awaitOutput("host: draining");
        expect(await ended).toBe(0);
    });
});
