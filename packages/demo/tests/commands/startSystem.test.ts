import { type Topology, topologySchema } from "@currantrill/protocol";
import { execFileSync, spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it } from "vitest";
import { startSystem } from "../../src/index.js";

const MAIN = join(import.meta.dirname, "..", "..", "dist", "main.js");

/** Seed argument that identifies the stand-ins of this test among the processes of other tests. */
const UNIQUE_SEED = String(900_000_000 + process.pid);

const isRunning = (pid: number): boolean => existsSync(`/proc/${pid}`);

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

describe("startSystem", () => {
    it("rejects with the host's log and leaves no process running when a host refuses its settings", async () => {
        const starting = startSystem({
            hostsPerDomain: 1,
            engineArgs: ["--seed", UNIQUE_SEED],
            hostSettings: { platform: { url: "nowhere" } },
        });
        await expect(starting).rejects.toThrow(
            /host-\w-1 exited before it was ready \(exit code 2\):[^]*platform\.url/,
        );
        expect(execFileSync("ps", ["-eo", "args="], { encoding: "utf8" })).not.toContain(UNIQUE_SEED);
    });
});

describe("demo", () => {
    it.each([{ signal: "SIGKILL" }, { signal: "SIGTERM" }] as const)(
        "leaves no process running after $signal",
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
