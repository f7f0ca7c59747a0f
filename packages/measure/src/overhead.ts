/**
 * Measures how much a host adds to the time to first token: sends streamed prompts through the host and directly to
 * the engine, alternately, at a fixed rate on loopback. Also prints the resident memory of the host before and after
 * the load.
 */
import { type RunningSystem, startSystem } from "@currantrill/demo";
import { command, number, option, run } from "cmd-ts";
import { build, type Histogram } from "hdr-histogram-js";
import { readFileSync } from "node:fs";
import { Pool } from "undici";

const MODEL = "pond-8b";
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
/** Requests before the measurement, so that connections are open and the code is JIT-compiled. */
const WARM_UP_REQUESTS = 500;
/** Wait after the start before the memory of the idle host is read. */
const IDLE_WAIT_MS = 5_000;
/** Upper limits of the added time to first token and of the memory of the idle host. */
const GOALS = { medianMs: 2, p99Ms: 10, idleMb: 128 };

/** A server that answers streamed prompts: the host or the engine. */
interface MeasuredTarget {
    readonly name: string;
    readonly pool: Pool;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly buildBody: (index: number) => string;
    /** Times to first token, in microseconds. */
    readonly histogram: Histogram;
}

const overhead = command({
    name: "overhead",
    args: {
        rate: option({ long: "rate", type: number, defaultValue: () => 50, description: "requests per second" }),
        seconds: option({ long: "seconds", type: number, defaultValue: () => 20 }),
    },
    handler: async ({ rate, seconds }) => {
        const system = await startSystem({ failureDomains: ["a"], hostsPerDomain: 1, enginesPerDomain: 1 });
        try {
            await measureSystem(system, rate, seconds);
        }
        finally {
            await system.stop();
        }
    },
});

async function measureSystem(system: RunningSystem, rate: number, seconds: number): Promise<void> {
    const host = findProcess(system, "host");
    const engine = findProcess(system, "engine");
    await waitMs(IDLE_WAIT_MS);
    const idleMb = readMemoryMb(host.pid);
    const targets = [
        createHostTarget(host.address, system.topology.workspaces[0]?.key ?? ""),
        createEngineTarget(engine.address),
    ];
    await sendRequests(targets, rate, WARM_UP_REQUESTS);
    targets.forEach(target => target.histogram.reset());
    await sendRequests(targets, rate, rate * seconds);
    const loadedMb = readMemoryMb(host.pid);
    const [throughHost, direct] = targets.map(target => getPercentiles(target.histogram));
    await Promise.all(targets.map(target => target.pool.close()));
    if (throughHost === undefined || direct === undefined) {
        return;
    }
    const added = { medianMs: throughHost.medianMs - direct.medianMs, p99Ms: throughHost.p99Ms - direct.p99Ms };
    const rows = { "through the host": throughHost, "direct": direct, "added": added };
    for (const [name, { medianMs, p99Ms }] of Object.entries(rows)) {
        print(`${name.padEnd(18)} median ${medianMs.toFixed(2)} ms, p99 ${p99Ms.toFixed(2)} ms`);
    }
    print(`host memory        idle ${idleMb.toFixed(0)} MB, after the load ${loadedMb.toFixed(0)} MB`);
    const isMet = added.medianMs < GOALS.medianMs && added.p99Ms < GOALS.p99Ms && idleMb < GOALS.idleMb;
    print(
        `goals              ${GOALS.medianMs} ms, ${GOALS.p99Ms} ms, ${GOALS.idleMb} MB: ${isMet ? "met" : "missed"}`,
    );
    process.exitCode = isMet ? 0 : 1;
}

function findProcess(system: RunningSystem, role: "host" | "engine"): RunningSystem["topology"]["processes"][number] {
    const processEntry = system.topology.processes.find(entry => entry.role === role);
    if (processEntry === undefined) {
        throw new Error(`demo system has no process with the role ${role}`);
    }
    return processEntry;
}

function createHostTarget(address: string, key: string): MeasuredTarget {
    return {
        name: "host",
        pool: new Pool(`http://${address}`),
        path: "/v1/completions",
        headers: { "content-type": "application/json", "authorization": `Bearer ${key}` },
        buildBody: () => JSON.stringify({ model: MODEL, prompt: "Is water mint hardy?", max_tokens: 2, stream: true }),
        histogram: build(),
    };
}

function createEngineTarget(address: string): MeasuredTarget {
    return {
        name: "engine",
        pool: new Pool(`http://${address}`),
        path: "/v1/generate",
        headers: { "content-type": "application/json" },
        buildBody: index =>
            JSON.stringify({
                request_id: `direct-${index}`,
                attempt_id: `direct-${index}`,
                model: MODEL,
                prompt: "Is water mint hardy?",
                prompt_tokens: 5,
                max_tokens: 2,
            }),
        histogram: build(),
    };
}

/** Sends requests to the targets alternately, to each at the given rate per second. */
async function sendRequests(targets: readonly MeasuredTarget[], rate: number, count: number): Promise<void> {
    const running: Promise<void>[] = [];
    const startedAtMs = performance.now();
    const intervalMs = 1_000 / rate;
    for (let index = 0; index < count; index += 1) {
        for (const [position, target] of targets.entries()) {
            const dueMs = startedAtMs + (index + position / targets.length) * intervalMs;
            await waitMs(dueMs - performance.now());
            running.push(measureFirstToken(target, index));
        }
    }
    await Promise.all(running);
}

async function measureFirstToken(target: MeasuredTarget, index: number): Promise<void> {
    const startedAtMs = performance.now();
    const response = await target.pool.request({
        method: "POST",
        path: target.path,
        headers: { ...target.headers },
        body: target.buildBody(index),
    });
    response.body.once("data", () => {
        target.histogram.recordValue(Math.round((performance.now() - startedAtMs) * MICROSECONDS_PER_MS));
    });
    await response.body.dump();
    if (response.statusCode !== 200) {
        throw new Error(`${target.name} returned HTTP status ${response.statusCode}, expected 200`);
    }
}

const getPercentiles = (histogram: Histogram): { medianMs: number; p99Ms: number; } => ({
    medianMs: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
});

/** Reads the resident memory of a process in MB from `/proc`. */
function readMemoryMb(pid: number): number {
    const kilobytes = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? "0";
    return Number(kilobytes) * 1_024 / BYTES_PER_MB;
}

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
const print = (line: string): void => void process.stdout.write(`${line}\n`);

await run(overhead, process.argv.slice(2));
