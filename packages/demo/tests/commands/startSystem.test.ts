import { type Topology, topologySchema } from "@currantrill/protocol";
import { execFileSync, spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { startSystem } from "../../src/index.js";

const MAIN = join(import.meta.dirname, "..", "..", "dist", "main.js");

/** Unique text in the arguments of the stand-ins, so that they can be told from those of other tests. */
const MARK = String(900_000_000 + process.pid);

const isRunning = (pid: number): boolean => existsSync(`/proc/${pid}`);

async function waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

describe("startSystem", () => {
    it("leaves no process behind when a host refuses its settings, and says why", async () => {
        const starting = startSystem({
            hostsPerDomain: 1,
            engineArgs: ["--seed", MARK],
            hostSettings: { platform: { url: "nowhere" } },
        });
        await expect(starting).rejects.toThrow(/host-\w-1 ended before it was ready \(exit code 2\):[^]*platform\.url/);
        expect(execFileSync("ps", ["-eo", "args="], { encoding: "utf8" })).not.toContain(MARK);
    });
});

describe("demo", () => {
    it.each([{ signal: "SIGKILL" }, { signal: "SIGTERM" }] as const)(
        "leaves no process behind after $signal",
        async ({ signal }) => {
            const directory = mkdtempSync(join(tmpdir(), "currantrill-test-"));
            const file = join(directory, "topology.json");
            const demo = spawn(process.execPath, [MAIN, "--topology", file], { stdio: ["ignore", "pipe", "inherit"] });
            await new Promise(resolve => demo.stdout.once("data", resolve));
            const topology: Topology = topologySchema.parse(JSON.parse(readFileSync(file, "utf8")));
            expect(topology.processes.filter(entry => isRunning(entry.pid))).toHaveLength(topology.processes.length);
            demo.kill(signal);
            await waitUntil(() => topology.processes.every(entry => !isRunning(entry.pid)));
            rmSync(directory, { recursive: true });
        },
    );
});
