/** Plans the processes of a system with their addresses. */
import { findFreePorts } from "@currantrill/standins";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import type { ProcessPlan } from "../model/runningSystem.js";
import { DEMO_MODEL, type Fields, OPERATOR_KEY, type SystemSettings } from "../model/systemOptions.js";

const PACKAGES = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");
const STANDIN = join(PACKAGES, "standins", "dist", "main.js");
const DAEMON = join(PACKAGES, "host", "dist", "main.js");
const PORTS_PER_HOST = 3;

/** A host's settings file. */
export interface SettingsFile {
    readonly path: string;
    readonly text: string;
}

export interface SystemPlan {
    readonly standins: readonly ProcessPlan[];
    readonly hosts: readonly ProcessPlan[];
    readonly settingsFiles: readonly SettingsFile[];
}

/** Plans all processes. The settings files belong into `directory`. */
export async function planProcesses(settings: SystemSettings, directory: string): Promise<SystemPlan> {
    const domains = settings.failureDomains;
    const standinCount = 3 + domains.length * settings.enginesPerDomain;
    const hostCount = domains.length * settings.hostsPerDomain;
    const ports = await findFreePorts(standinCount + PORTS_PER_HOST * hostCount);
    const takeAddress = (): string => `127.0.0.1:${ports.pop() ?? 0}`;
    const platform = planStandin("platform", "platform", "", settings.platformArgs, takeAddress());
    const weightStore = planStandin("weight-store", "weight-store", "", settings.weightStoreArgs, takeAddress());
    const engines = listNames(settings, "engine", settings.enginesPerDomain).map(({ name, domain }) =>
        planStandin(name, "engine", domain, listEngineArgs(settings, name, weightStore.address), takeAddress())
    );
    const service = planStandin("orders-1", "service", domains[0] ?? "", [
        "--id",
        "orders-1",
        ...settings.serviceArgs,
    ], takeAddress());
    const hosts = listNames(settings, "host", settings.hostsPerDomain).map(({ name, domain }) =>
        planHost(name, domain, join(directory, `${name}.toml`), [takeAddress(), takeAddress(), takeAddress()])
    );
    const settingsFiles = hosts.map(host => ({
        path: host.args[1] ?? "",
        text: formatHostSettings(settings, host, hosts, platform.address),
    }));
    return { standins: [platform, weightStore, ...engines, service], hosts, settingsFiles };
}

const listNames = (settings: SystemSettings, kind: string, count: number): { name: string; domain: string; }[] =>
    settings.failureDomains.flatMap(domain =>
        Array.from({ length: count }, (_unused, index) => ({ name: `${kind}-${domain}-${index + 1}`, domain }))
    );

const listEngineArgs = (settings: SystemSettings, name: string, weightStoreAddress: string): string[] => [
    ...["--id", name, "--models", `${DEMO_MODEL}@1`, "--weight-store", `http://${weightStoreAddress}`],
    ...["--memory-tokens", String(settings.engineMemoryTokens), "--slots", String(settings.engineSlots)],
    ...["--prefill-rate", String(settings.prefillTokensPerSecond)],
    ...["--decode-rate", String(settings.decodeTokensPerSecond)],
    ...settings.engineArgs,
];

const planStandin = (
    name: string,
    role: ProcessPlan["role"],
    failureDomain: string,
    args: readonly string[],
    address: string,
): ProcessPlan => ({
    name,
    role,
    failureDomain,
    program: STANDIN,
    args: [role, "--port", address.split(":")[1] ?? "", ...args],
    address,
    addresses: [address],
});

const planHost = (
    name: string,
    failureDomain: string,
    settingsFile: string,
    addresses: readonly [callers: string, operators: string, peers: string],
): ProcessPlan => ({
    name,
    role: "host",
    failureDomain,
    program: DAEMON,
    args: ["--settings", settingsFile],
    address: addresses[0],
    operatorAddress: addresses[1],
    addresses,
});

function formatHostSettings(
    settings: SystemSettings,
    host: ProcessPlan,
    hosts: readonly ProcessPlan[],
    platformAddress: string,
): string {
    const [callers, operators, peers] = host.addresses;
    const own: Fields = {
        host_id: host.name,
        failure_domain: host.failureDomain,
        operator_key: OPERATOR_KEY,
        seeds: hosts.filter(entry => entry !== host).map(entry => entry.addresses[2]),
        listen: { callers, operators, peers },
        platform: { url: `http://${platformAddress}` },
        limits: { allow_synthetic_prompts: true },
        // There is no load balancer to wait for.
        drain: { notice_ms: 0 },
    };
    return stringify(mergeFields(own, settings.hostSettings));
}

/** Overrides win; tables are merged. */
function mergeFields(fields: Fields, overrides: Fields): Fields {
    const merged = Object.entries(overrides).map(([key, value]) => {
        const current = fields[key];
        return [key, isTable(current) && isTable(value) ? mergeFields(current, value) : value];
    });
    return { ...fields, ...Object.fromEntries(merged) as Fields };
}

const isTable = (value: unknown): value is Fields =>
    typeof value === "object" && value !== null && !Array.isArray(value);
