import type { LengthClass, RoutingPolicyName } from "@currantrill/core";
import type { UserProfile } from "./userProfile.js";

/** Faults that are injected during a run. With "domain cut off", one failure domain is partitioned for a time. */
export const faultNames = ["none", "1 engine dies", "3 engines die", "domain cut off"] as const;
export type FaultName = (typeof faultNames)[number];

/** Input of one simulation run. */
export interface Scenario {
    readonly user: UserProfile;
    readonly policy: RoutingPolicyName;
    /** Offered load as a fraction of the prefill capacity of the fleet, without prefix cache hits. */
    readonly load: number;
    readonly fault: FaultName;
    readonly seed: number;
    /** Time over which requests arrive. */
    readonly durationMs: number;
    /** Whether requests of the classes `long` and `huge` are sent. */
    readonly withLong: boolean;
}

/** Capacity and speed of a simulated engine. */
export const ENGINE = {
    prefillTokensPerSecond: 20_000,
    /** The largest prompt of a million tokens needs more than twice this memory. */
    memoryTokens: 450_000,
    /** Capacity of the prefix cache. */
    cacheTokens: 150_000,
    /** Number of requests that an engine serves concurrently. */
    slots: 32,
    /** Prompt tokens that one step prefills at most. */
    chunkTokens: 1_024,
    /** Minimum duration of a step, in which each running stream decodes one token. */
    stepMs: 12,
    /** Additional duration of a step for each stream that decodes in it. */
    decodeMsPerStream: 0.2,
} as const;

/** Requests that arrive before this time are not counted, because the queues and caches are still filling up. */
export const WARM_UP_MS = 40_000;

/** Timeout of the whole answer that callers set, by length class. */
export const TIMEOUT_MS: Record<LengthClass, number> = { short: 30_000, medium: 60_000, long: 120_000, huge: 300_000 };
