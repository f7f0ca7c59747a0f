/** Plans the processes of a system: names, failure domains, arguments and addresses. */
import { findFreePorts } from "@currantrill/standins";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import type { ProcessPlan } from "../model/runningSystem.js";
import { DEMO_MODEL, OPERATOR_KEY, type SystemSettings, type TomlFields } from "../model/systemOptions.js";

const PACKAGES_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), "..", "..", "..");
const STANDIN_PROGRAM = join(PACKAGES_DIRECTORY, "standins", "dist", "main.js");
const HOST_PROGRAM = join(PACKAGES_DIRECTORY, "host", "dist", "main.js");
/** Listeners of a host: for callers, operators and peers. */
const PORTS_PER_HOST = 3;

/** Path and TOML text of a host's settings file. */
export interface SettingsFile {
    readonly path: string;
    readonly text: string;
}

/** Plans of all processes, and the settings files that the hosts need. */
export interface SystemPlan {
    readonly standins: readonly ProcessPlan[];
    readonly hosts: readonly ProcessPlan[];
    readonly settingsFiles: readonly SettingsFile[];
}

/** Plans all processes and reserves their ports. The paths of the settings files are in `directory`; no file is written. */
export async function planProcesses(settings: SystemSettings, directory: string): Promise<SystemPlan> {
    const domains = settings.failureDomains;
    const standinCount = 3 + domains.length * settings.enginesPerDomain;
    const hostCount = domains.length * settings.hostsPerDomain;
    const ports = await findFreePorts(standinCount + PORTS_PER_HOST * hostCount);
    const takeAddress = (): string => `127.0.0.1:${ports.pop() ?? 0}`;
    const platform = planStandin("platform", "platform", "", settings.platformArgs, takeAddress());
    const weightStore = planStandin("weight-store", "weight-store", "", settings.weightStoreArgs, takeAddress());
    const engines = nameProcesses(settings, "engine", settings.enginesPerDomain).map(({ name, domain }) =>
        planStandin(name, "engine", domain, listEngineArgs(settings, name, weightStore.address), takeAddress())
    );
    const service = planStandin("orders-1", "service", domains[0] ?? "", [
        "--id",
        "orders-1",
        ...settings.serviceArgs,
    ], takeAddress());
    const hosts = nameProcesses(settings, "host", settings.hostsPerDomain).map(({ name, domain }) =>
        planHost(name, domain, join(directory, `${name}.toml`), [takeAddress(), takeAddress(), takeAddress()])
    );
    const settingsFiles = hosts.map(host => ({
        path: host.args[1] ?? "",
        text: formatHostSettings(settings, host, hosts, platform.address),
    }));
    return { standins: [platform, weightStore, ...engines, service], hosts, settingsFiles };
}

/** Names `count` processes in each failure domain, for example `engine-a-1`. */
const nameProcesses = (settings: SystemSettings, kind: string, count: number): { name: string; domain: string; }[] =>
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
    program: STANDIN_PROGRAM,
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
    program: HOST_PROGRAM,
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
    const defaultFields: TomlFields = {
        host_id: host.name,
        failure_domain: host.failureDomain,
        operator_key: OPERATOR_KEY,
        seeds: hosts.filter(entry => entry !== host).map(entry => entry.addresses[2]),
        listen: { callers, operators, peers },
        platform: { url: `http://${platformAddress}` },
        limits: { allow_synthetic_prompts: true },
        // No load balancer has to notice that the host is not ready before the host stops accepting connections.
        drain: { notice_ms: 0 },
    };
    return stringify(mergeFields(defaultFields, settings.hostSettings));
}

/** Merges two tables: overrides take precedence, and nested tables are merged recursively. */
function mergeFields(fields: TomlFields, overrides: TomlFields): TomlFields {
    const merged = Object.entries(overrides).map(([key, value]) => {
        const current = fields[key];
        return [key, isTomlTable(current) && isTomlTable(value) ? mergeFields(current, value) : value];
    });
    return { ...fields, ...Object.fromEntries(merged) as TomlFields };
}

const isTomlTable = (value: unknown): value is TomlFields =>
    typeof value === "object" && value !== null && !Array.isArray(value);
