export interface LoadedModel {
    readonly name: string;
    readonly version: string;
}

/** Options of the engine stand-in; the defaults are in `defaultEngineOptions`. */
export interface EngineStandinOptions {
    readonly endpointId: string;
    readonly host?: string;
    /** Port to listen on; 0 takes a free one. */
    readonly port?: number;
    /** Models that are loaded when the engine starts. */
    readonly models?: readonly LoadedModel[];
    /** Size of the KV memory in tokens, shared by allocations, running requests and the prefix cache. */
    readonly memoryTokens?: number;
    /** Maximum number of requests in the batch. */
    readonly slots?: number;
    /** Token budget of one step, for prefill and decode together. */
    readonly stepTokens?: number;
    readonly prefillTokensPerSecond?: number;
    /** Decode rate of one stream. It does not depend on the number of streams in the batch. */
    readonly decodeTokensPerSecond?: number;
    /** Transfer rate of KV export and import. */
    readonly kvTokensPerSecond?: number;
    /** Time between load reports, and thus the maximum age of a report. */
    readonly reportIntervalMs?: number;
    /** Delay until a cache event is published. */
    readonly cacheEventDelayMs?: number;
    /** Fraction of the cache events that is lost (0 to 1). A lost event leaves a gap in the sequence numbers. */
    readonly cacheEventLossFraction?: number;
    /** Interval at which the lead engine of a gang checks the allocations of the other members. */
    readonly memberCheckMs?: number;
    /** Whether an order is refused if its fencing token is lower than the highest one seen. */
    readonly checksFencing?: boolean;
    /** URL of the weight store. If it is empty, models load without a fetch. */
    readonly weightStoreUrl?: string;
    /** Time from the end of the weight fetch until the model is loaded. */
    readonly loadMs?: number;
    /** Seed of the random choice of lost cache events. */
    readonly seed?: number;
}

/** Defaults of the engine stand-in. All rates are per second, all times in milliseconds. */
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
    cacheEventLossFraction: 0.01,
    memberCheckMs: 200,
    checksFencing: true,
    weightStoreUrl: "",
    loadMs: 100,
    seed: 1,
} satisfies Partial<EngineStandinOptions>;

/** Options with all defaults applied. */
export type EngineSettings = Required<EngineStandinOptions>;
