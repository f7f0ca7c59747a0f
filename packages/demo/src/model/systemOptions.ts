/** Options of a demo system. */

/** A part of a ticket's or settings file's TOML document. */
export type Fields = Readonly<Record<string, unknown>>;

export interface SystemOptions {
    readonly failureDomains?: readonly string[];
    readonly hostsPerDomain?: number;
    readonly enginesPerDomain?: number;
    readonly engineMemoryTokens?: number;
    readonly engineSlots?: number;
    readonly prefillTokensPerSecond?: number;
    readonly decodeTokensPerSecond?: number;
    /** Further arguments of each engine stand-in. */
    readonly engineArgs?: readonly string[];
    readonly serviceArgs?: readonly string[];
    readonly platformArgs?: readonly string[];
    readonly weightStoreArgs?: readonly string[];
    /** Overrides of each host's settings; tables are merged. */
    readonly hostSettings?: Fields;
    /** Overrides of each endpoint in the first ticket. */
    readonly endpointFields?: Fields;
    /** Sends the connections between the processes through a relay, so that links can be cut. */
    readonly relay?: boolean;
    readonly readyTimeoutMs?: number;
    /** Ends the start: everything is stopped and the start is rejected. */
    readonly signal?: AbortSignal;
}

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
    relay: false,
    readyTimeoutMs: 30_000,
    signal: new AbortController().signal,
};

export type SystemSettings = Required<SystemOptions>;

/** Operator key of every demo host. */
export const OPERATOR_KEY = "demo-operator-key";
export const DEMO_MODEL = "pond-8b";
export const DEMO_WORKSPACES = [
    { name: "desk", key: "demo-desk-key" },
    { name: "branches", key: "demo-branches-key" },
] as const;
