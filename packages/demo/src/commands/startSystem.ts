/** Starts a whole system on loopback: stand-ins, hosts, and the first ticket. */
import { requestJson } from "@currantrill/http";
import type { Topology, TopologyProcess } from "@currantrill/protocol";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import { findFreePorts } from "../queries/findFreePorts.js";
import { startStandin, stopProcess } from "./startProcess.js";

const PACKAGES = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");
const STANDIN = join(PACKAGES, "standins", "dist", "main.js");
const DAEMON = join(PACKAGES, "host", "dist", "main.js");
const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** Operator key of every demo host. */
export const OPERATOR_KEY = "demo-operator-key";
export const DEMO_MODEL = "pond-8b";

export interface SystemOptions {
    readonly failureDomains?: readonly string[];
    readonly hostsPerDomain?: number;
    readonly enginesPerDomain?: number;
    readonly engineMemoryTokens?: number;
}

const defaultOptions = {
    failureDomains: ["a", "b", "c"],
    hostsPerDomain: 2,
    enginesPerDomain: 2,
    engineMemoryTokens: 400_000,
} satisfies SystemOptions;

export interface RunningSystem {
    readonly topology: Topology;
    readonly children: ReadonlyMap<string, ChildProcess>;
    readonly stop: () => Promise<void>;
}

/** Starts everything and applies the first ticket. */
export async function startSystem(options: SystemOptions = {}): Promise<RunningSystem> {
    const settings = { ...defaultOptions, ...options };
    const children = new Map<string, ChildProcess>();
    const processes: TopologyProcess[] = [];
    const addStandin = async (
        name: string,
        role: TopologyProcess["role"],
        domain: string,
        args: readonly string[],
    ): Promise<string> => {
        const started = await startStandin(STANDIN, args);
        const address = `127.0.0.1:${started.port}`;
        children.set(name, started.child);
        processes.push({ name, role, failureDomain: domain, pid: started.pid, address });
        return `http://${address}`;
    };
    const platformUrl = await addStandin("platform", "platform", "", ["platform"]);
    const endpoints: Record<string, unknown>[] = [];
    for (const domain of settings.failureDomains) {
        for (let index = 1; index <= settings.enginesPerDomain; index += 1) {
            const name = `engine-${domain}-${index}`;
            const args = [
                "engine",
                "--id",
                name,
                "--models",
                `${DEMO_MODEL}@1`,
                "--memory-tokens",
                String(settings.engineMemoryTokens),
            ];
            const url = await addStandin(name, "engine", domain, args);
            const speed = { prefill_tokens_per_second: 500_000, decode_tokens_per_second: 200 };
            endpoints.push({
                name,
                replaces: 0,
                pool: "models",
                url,
                failure_domain: domain,
                memory_tokens: settings.engineMemoryTokens,
                ...speed,
            });
        }
    }
    const serviceUrl = await addStandin("orders-1", "service", settings.failureDomains[0] ?? "a", [
        "service",
        "--id",
        "orders-1",
    ]);
    endpoints.push({
        name: "orders-1",
        replaces: 0,
        pool: "order-servers",
        url: serviceUrl,
        failure_domain: settings.failureDomains[0] ?? "a",
    });
    const hosts = await startHosts(settings, platformUrl, children);
    processes.push(...hosts);
    await Promise.all(hosts.map(host => waitReady(host.operatorAddress ?? "")));
    const topology: Topology = {
        processes,
        workspaces: [{ name: "desk", key: "demo-desk-key" }, { name: "branches", key: "demo-branches-key" }],
    };
    await applyFirstTicket(topology, endpoints);
    const stop = async (): Promise<void> => {
        const hostNames = hosts.map(host => host.name);
        await Promise.all(hostNames.map(name => stopChild(children, name)));
        await Promise.all([...children.keys()].map(name => stopChild(children, name)));
    };
    return { topology, children, stop };
}

async function stopChild(children: ReadonlyMap<string, ChildProcess>, name: string): Promise<void> {
    const child = children.get(name);
    if (child !== undefined) {
        await stopProcess(child);
    }
}

async function startHosts(
    settings: Required<SystemOptions>,
    platformUrl: string,
    children: Map<string, ChildProcess>,
): Promise<TopologyProcess[]> {
    const directory = mkdtempSync(join(tmpdir(), "currantrill-"));
    const names = settings.failureDomains.flatMap(domain =>
        Array.from(
            { length: settings.hostsPerDomain },
            (_unused, index) => ({ name: `host-${domain}-${index + 1}`, domain }),
        )
    );
    const ports = await findFreePorts(names.length * 3);
    const address = (index: number): string => `127.0.0.1:${ports[index] ?? 0}`;
    const seeds = names.map((_entry, index) => address(3 * index + 2));
    return names.map(({ name, domain }, index) => {
        const file = join(directory, `${name}.toml`);
        const [callers, operators, peers] = [address(3 * index), address(3 * index + 1), address(3 * index + 2)];
        writeFileSync(
            file,
            stringify({
                host_id: name,
                failure_domain: domain,
                operator_key: OPERATOR_KEY,
                seeds,
                listen: { callers, operators, peers },
                platform: { url: platformUrl },
                limits: { allow_synthetic_prompts: true },
                // There is no load balancer to wait for.
                drain: { notice_ms: 0 },
            }),
        );
        const child = spawn(process.execPath, [DAEMON, "--settings", file], { stdio: ["ignore", "ignore", "inherit"] });
        children.set(name, child);
        return {
            name,
            role: "host",
            failureDomain: domain,
            pid: child.pid ?? 0,
            address: callers,
            operatorAddress: operators,
        };
    });
}

async function waitReady(operatorAddress: string): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
        const response = await requestJson(`http://${operatorAddress}/readyz`).catch(() => undefined);
        if (response?.status === 200) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
    }
    throw new Error(`the host at ${operatorAddress} was not ready within ${READY_TIMEOUT_MS} ms`);
}

async function applyFirstTicket(topology: Topology, endpoints: readonly Record<string, unknown>[]): Promise<void> {
    const text = stringify({
        ticket: 1,
        summary: "Demo: two pools, two workspaces, one model, one service",
        pools: [
            { name: "models", replaces: 0, owner: "desk", serves: "engine" },
            { name: "order-servers", replaces: 0, owner: "desk", serves: "service" },
        ],
        endpoints,
        workspaces: topology.workspaces.map(({ name, key }) => ({
            name,
            replaces: 0,
            key_sha256: createHash("sha256").update(key).digest("hex"),
            tokens_per_second: 5_000_000,
            burst_tokens: 10_000_000,
            max_concurrent: 200,
        })),
        rules: topology.workspaces.map(({ name }) => ({
            name,
            replaces: 0,
            workspace: name,
            pools: ["models", "order-servers"],
        })),
        models: [{
            name: DEMO_MODEL,
            replaces: 0,
            version: "1",
            pools: ["models"],
            replicas: 6,
            max_prompt_tokens: 1_048_576,
        }],
        services: [{
            name: "orders",
            replaces: 0,
            pool: "order-servers",
            operations: [{ method: "GET", path: "/", idempotent: true }, {
                method: "POST",
                path: "/dispatch",
                idempotent: false,
            }],
        }],
    });
    const host = topology.processes.find(entry => entry.role === "host");
    const response = await requestJson(`http://${host?.operatorAddress ?? ""}/admin/tickets`, {
        method: "POST",
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body: { text, source: "first-ticket.toml" },
    });
    if (response.status !== 200) {
        throw new Error(`the first ticket was refused: ${JSON.stringify(response.body)}`);
    }
}
