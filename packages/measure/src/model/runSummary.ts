import type { LengthClass, RoutingPolicyName } from "@currantrill/core";
import type { FaultName } from "./scenario.js";

/** Percentiles of `count` values; `NaN` without values. Times are in milliseconds. */
export interface Percentiles {
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
}

/** Result of one scenario, which `--out` writes as one JSON line. */
export interface RunSummary {
    /** Name of the deployment; see `UserProfile`. */
    readonly user: string;
    readonly policy: RoutingPolicyName;
    readonly load: number;
    readonly fault: FaultName;
    readonly seed: number;
    /** Number of requests after the warm-up. */
    readonly requests: number;
    /** Time to first token at the caller, by length class. */
    readonly firstToken: Readonly<Record<LengthClass, Percentiles>>;
    /**
     * Percentiles of the time to first token of short requests, divided by those of the same arrivals without long
     * requests.
     */
    readonly slowdown: { readonly p50: number; readonly p95: number; };
    /** Percentiles of the ratio of the times to first token of each short request, with and without long requests. */
    readonly pairedSlowdown: { readonly p50: number; readonly p95: number; };
    /** Numbers of requests by outcome; see `RequestOutcome`. */
    readonly refused: number;
    readonly late: number;
    readonly unanswered: number;
    /** Busy time of all engines as a fraction of the time over which requests arrive. */
    readonly utilisation: number;
}
