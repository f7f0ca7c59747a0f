/** Starts a system of real host processes and measures the cost of the control plane on each host. */
import {
    applyTicket,
    getOperatorUrl,
    listProcesses,
    type RunningSystem,
    startSystem,
    waitForRevision,
} from "@currantrill/demo";
import { request } from "undici";
import { type HostMetric, hostMetrics, type HostSample, type SizeSample, type WindowSample } from "../model/sample.js";
import { readProcessUsage } from "../queries/readProcessUsage.js";
import { sumMetric } from "../queries/sumMetric.js";
import { serveLoadReports } from "./serveLoadReports.js";

const DOMAINS = ["a", "b", "c"];

/** Size of one system, and the times of its measurement. */
export interface SizeOptions {
    /** Number of hosts of all failure domains. */
    readonly hosts: number;
    /** Number of endpoints that the measured ticket adds to each failure domain. */
    readonly addedEndpoints: number;
    readonly addedWorkspaces: number;
    /** Wait before the first measurement, in which connections that only the start needs are closed. */
    readonly settleMs: number;
    /** Duration of one measurement. */
    readonly windowMs: number;
}

/** Measures a system of one size, before and after a ticket that adds endpoints and workspaces. */
export async function measureSize(options: SizeOptions): Promise<SizeSample> {
    const reportServer = await serveLoadReports();
    const hostsPerDomain = options.hosts / DOMAINS.length;
    const system = await startSystem({
        failureDomains: DOMAINS,
        hostsPerDomain,
        enginesPerDomain: 1,
        hostSettings: { log_level: "error", drain: { notice_ms: 0 } },
        readyTimeoutMs: 90_000,
    });
    try {
        await waitMs(options.settleMs);
        const before = await measureWindow(system, hostsPerDomain, 1, options.windowMs);
        const startedAtMs = performance.now();
        await waitForRevision(system, await applyTicket(system, buildTicket(options, reportServer.port)));
        const ticketMs = performance.now() - startedAtMs;
        await waitMs(options.settleMs / 2);
        const after = await measureWindow(system, hostsPerDomain, 1 + options.addedEndpoints, options.windowMs);
        return { hosts: options.hosts, before, after, ticketMs };
    }
    finally {
        await system.stop();
        await reportServer.close();
    }
}

function buildTicket(options: SizeOptions, port: number): Record<string, unknown> {
    const endpoints = DOMAINS.flatMap(domain =>
        Array.from({ length: options.addedEndpoints }, (_unused, index) => ({
            name: `extra-${domain}-${index}`,
            replaces: 0,
            pool: "models",
            url: `http://127.0.0.1:${port}/extra-${domain}-${index}`,
            failure_domain: domain,
            memory_tokens: 400_000,
        }))
    );
    const workspaces = Array.from({ length: options.addedWorkspaces }, (_unused, index) => ({
        name: `extra-${index}`,
        replaces: 0,
        key_sha256: index.toString(16).padStart(64, "0"),
        tokens_per_second: 1_000,
        burst_tokens: 1_000,
        max_concurrent: 4,
    }));
    return { ticket: 2, summary: "Capacity", endpoints, workspaces };
}

/** Counters and memory use of one host at one moment. */
interface HostUsage {
    readonly bytes: number;
    readonly messages: number;
    readonly processorSeconds: number;
    readonly megabytes: number;
}

/** Measures all hosts over one window. */
async function measureWindow(
    system: RunningSystem,
    hostsPerDomain: number,
    endpointsPerDomain: number,
    windowMs: number,
): Promise<WindowSample> {
    const first = await readHosts(system);
    const startedAtMs = performance.now();
    await waitMs(windowMs);
    const second = await readHosts(system);
    const seconds = (performance.now() - startedAtMs) / 1_000;
    const samples = second.map((usage, index) => computeSample(first[index] ?? usage, usage, seconds));
    const aggregate = (compute: (values: readonly number[]) => number): HostSample =>
        Object.fromEntries(
            hostMetrics.map((metric): [HostMetric, number] => [metric, compute(samples.map(sample => sample[metric]))]),
        ) as unknown as HostSample;
    return {
        hostsPerDomain,
        domains: DOMAINS.length,
        endpointsPerDomain,
        mean: aggregate(values => values.reduce((sum, value) => sum + value, 0) / values.length),
        largest: aggregate(values => Math.max(...values)),
    };
}

const computeSample = (first: HostUsage, second: HostUsage, seconds: number): HostSample => ({
    bytes: (second.bytes - first.bytes) / seconds,
    messages: (second.messages - first.messages) / seconds,
    processor: 100 * (second.processorSeconds - first.processorSeconds) / seconds,
    megabytes: second.megabytes,
});

function readHosts(system: RunningSystem): Promise<HostUsage[]> {
    return Promise.all(
        listProcesses(system, "host").map(async ({ plan, child }) => {
            const response = await request(`${getOperatorUrl(system, plan.name)}/metrics`);
            const text = await response.body.text();
            return {
                bytes: sumMetric(text, "currantrill_control_bytes_total"),
                messages: sumMetric(text, "currantrill_control_messages_total"),
                ...readProcessUsage(child.pid ?? 0),
            };
        }),
    );
}

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
