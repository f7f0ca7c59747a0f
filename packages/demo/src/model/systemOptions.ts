/** Options of a demo system. */

/** A TOML table, of a ticket or of a host's settings file. */
export type TomlFields = Readonly<Record<string, unknown>>;

/** Options of `startSystem`; the defaults are in `defaultSystemOptions`. */
export interface SystemOptions {
    readonly failureDomains?: readonly string[];
    readonly hostsPerDomain?: number;
    readonly enginesPerDomain?: number;
    /** KV memory of each engine in tokens. */
    readonly engineMemoryTokens?: number;
    /** Maximum batch size of each engine. */
    readonly engineSlots?: number;
    readonly prefillTokensPerSecond?: number;
    readonly decodeTokensPerSecond?: number;
    /** Additional command-line arguments of each engine stand-in. */
    readonly engineArgs?: readonly string[];
    /** Additional command-line arguments of the service stand-in. */
    readonly serviceArgs?: readonly string[];
    /** Additional command-line arguments of the platform stand-in. */
    readonly platformArgs?: readonly string[];
    /** Additional command-line arguments of the weight store stand-in. */
    readonly weightStoreArgs?: readonly string[];
    /** Overrides of the settings of every host; nested tables are merged. */
    readonly hostSettings?: TomlFields;
    /** Overrides of every engine endpoint in tickets. */
    readonly endpointFields?: TomlFields;
    /** Whether connections between the processes go through a fault-injecting TCP proxy, which `setLinkModes` needs. */
    readonly faultProxy?: boolean;
    /** Time within which each process has to be ready, and a revision has to be in force on all hosts. */
    readonly readyTimeoutMs?: number;
    /** Aborts the start: all processes are killed and `startSystem` rejects. */
    readonly signal?: AbortSignal;
}

/** Defaults of a demo system: three failure domains with two hosts and two engines each. */
export const defaultSystemOptions: Required<SystemOptions> = {
    failureDomains: ["a", "b", "c"],
    hostsPerDomain: 2,
    enginesPerDomain: 2,
    engineMemoryTokens: 400_000,
    engineSlots: 16,
    prefillTokensPerSecond: 500_000,
    decodeTokensPerSecond: 200,
    engineArgs: [],
    serviceArgs: [],
    platformArgs: [],
    weightStoreArgs: [],
    hostSettings: {},
    endpointFields: {},
    faultProxy: false,
    readyTimeoutMs: 30_000,
    signal: new AbortController().signal,
};

/** Options with all defaults applied. */
export type SystemSettings = Required<SystemOptions>;

/** Key with which operators authenticate on every demo host. */
export const OPERATOR_KEY = "demo-operator-key";
/** Name of the model that every demo engine has loaded. */
export const DEMO_MODEL = "pond-8b";
/** Workspaces of the demo, with the API keys of their callers. */
export const DEMO_WORKSPACES = [
    { name: "desk", key: "demo-desk-key" },
    { name: "branches", key: "demo-branches-key" },
] as const;
