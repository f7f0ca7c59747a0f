/** Options of the engine stand-in. */

export interface LoadedModel {
    readonly name: string;
    readonly version: string;
}

export interface EngineStandinOptions {
    readonly endpointId: string;
    readonly host?: string;
    readonly port?: number;
    /** Models that are loaded at the start. */
    readonly models?: readonly LoadedModel[];
    /** KV memory that allocations, running requests and the prefix cache share. */
    readonly memoryTokens?: number;
    /** Requests in a batch. */
    readonly slots?: number;
    /** Tokens that one step computes at most, prefill and decode together. */
    readonly stepTokens?: number;
    readonly prefillTokensPerSecond?: number;
    /** Speed of one stream; a batch decodes all its streams at this speed. */
    readonly decodeTokensPerSecond?: number;
    /** Speed of KV export and import. */
    readonly kvTokensPerSecond?: number;
    /** Age that a report can reach. */
    readonly reportIntervalMs?: number;
    readonly cacheEventDelayMs?: number;
    /** Part of the cache events that is lost, which leaves a gap in their sequence. */
    readonly cacheEventLoss?: number;
    readonly memberCheckMs?: number;
    /** Whether an order with an old fencing token is refused. */
    readonly checksFencing?: boolean;
    readonly weightStoreUrl?: string;
    /** Time from the end of the fetch until a model is ready. */
    readonly loadMs?: number;
    readonly seed?: number;
}

export const defaultEngineOptions = {
    host: "127.0.0.1",
    port: 0,
    models: [],
    memoryTokens: 400_000,
    slots: 16,
    stepTokens: 8_192,
    prefillTokensPerSecond: 500_000,
    decodeTokensPerSecond: 200,
    kvTokensPerSecond: 10_000_000,
    reportIntervalMs: 250,
    cacheEventDelayMs: 500,
    cacheEventLoss: 0.01,
    memberCheckMs: 200,
    checksFencing: true,
    weightStoreUrl: "",
    loadMs: 100,
    seed: 1,
} satisfies Partial<EngineStandinOptions>;

export type EngineSettings = Required<EngineStandinOptions>;
