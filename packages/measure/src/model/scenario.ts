import type { LengthClass, RoutingPolicyName } from "@currantrill/core";
import type { UserProfile } from "./userProfile.js";

/** What breaks during a run. */
export const faultNames = ["none", "1 engine dies", "3 engines die", "domain cut off"] as const;
export type FaultName = (typeof faultNames)[number];

export interface Scenario {
    readonly user: UserProfile;
    readonly policy: RoutingPolicyName;
    /** Offered work relative to the prefill capacity of the fleet, without prefix cache hits. */
    readonly load: number;
    readonly fault: FaultName;
    readonly seed: number;
    /** Time over which requests arrive. */
    readonly durationMs: number;
    /** Whether requests of the classes `long` and `huge` are sent. */
    readonly withLong: boolean;
}

/** Sizes of the engine fake. */
export const ENGINE = {
    prefillTokensPerSecond: 20_000,
    /** The largest prompt of a million tokens needs more than twice this memory. */
    memoryTokens: 450_000,
    cacheTokens: 150_000,
    slots: 32,
    chunkTokens: 1_024,
    /** Shortest step of a batch. */
    stepMs: 12,
    /** Added to a step for each stream that decodes in it. */
    decodeMsPerStream: 0.2,
} as const;

/** Requests that arrive before this time are not counted: the fleet fills up. */
export const WARM_UP_MS = 40_000;

/** Timeout of the whole answer that callers set, by class. */
export const TIMEOUT_MS: Record<LengthClass, number> = { short: 30_000, medium: 60_000, long: 120_000, huge: 300_000 };
