/** Starts a system of real daemons and measures its hosts. */
import {
    applyTicket,
    getOperatorUrl,
    listProcesses,
    type RunningSystem,
    startSystem,
    waitForRevision,
} from "@currantrill/demo";
import { request } from "undici";
import { type Figure, figures, type HostSample, type SizeSample, type WindowSample } from "../model/sample.js";
import { readProcess } from "../queries/readProcess.js";
import { sumMetric } from "../queries/sumMetric.js";
import { serveReports } from "./serveReports.js";

const DOMAINS = ["a", "b", "c"];

export interface SizeOptions {
    readonly hosts: number;
    /** Engines added to each domain by the measured ticket. */
    readonly addedEndpoints: number;
    readonly addedWorkspaces: number;
    /** Time for connections that are needed at the start only to close. */
    readonly settleMs: number;
    readonly windowMs: number;
}

/** Measures one size, without and with the additional objects. */
export async function measureSize(options: SizeOptions): Promise<SizeSample> {
    const reports = await serveReports();
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
        await waitForRevision(system, await applyTicket(system, buildTicket(options, reports.port)));
        const ticketMs = performance.now() - startedAtMs;
        await waitMs(options.settleMs / 2);
        const after = await measureWindow(system, hostsPerDomain, 1 + options.addedEndpoints, options.windowMs);
        return { hosts: options.hosts, before, after, ticketMs };
    }
    finally {
        await system.stop();
        await reports.close();
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

interface Reading {
    readonly bytes: number;
    readonly messages: number;
    readonly processorSeconds: number;
    readonly megabytes: number;
}

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
    const samples = second.map((reading, index) => compareReadings(first[index] ?? reading, reading, seconds));
    const collect = (choose: (values: readonly number[]) => number): HostSample =>
        Object.fromEntries(
            figures.map((figure): [Figure, number] => [figure, choose(samples.map(sample => sample[figure]))]),
        ) as unknown as HostSample;
    return {
        hostsPerDomain,
        domains: DOMAINS.length,
        endpointsPerDomain,
        mean: collect(values => values.reduce((sum, value) => sum + value, 0) / values.length),
        largest: collect(values => Math.max(...values)),
    };
}

const compareReadings = (first: Reading, second: Reading, seconds: number): HostSample => ({
    bytes: (second.bytes - first.bytes) / seconds,
    messages: (second.messages - first.messages) / seconds,
    processor: 100 * (second.processorSeconds - first.processorSeconds) / seconds,
    megabytes: second.megabytes,
});

function readHosts(system: RunningSystem): Promise<Reading[]> {
    return Promise.all(
        listProcesses(system, "host").map(async ({ plan, child }) => {
            const response = await request(`${getOperatorUrl(system, plan.name)}/metrics`);
            const text = await response.body.text();
            return {
                bytes: sumMetric(text, "currantrill_control_bytes_total"),
                messages: sumMetric(text, "currantrill_control_messages_total"),
                ...readProcess(child.pid ?? 0),
            };
        }),
    );
}

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
