import type { LengthClass, RoutingPolicyName } from "@currantrill/core";
import type { FaultName } from "./scenario.js";

/** Time to first token in milliseconds; `NaN` without requests. */
export interface Percentiles {
    readonly count: number;
    readonly p50: number;
    readonly p95: number;
    readonly p99: number;
}

/** Result of one scenario: one JSON line. */
export interface RunSummary {
    readonly user: string;
    readonly policy: RoutingPolicyName;
    readonly load: number;
    readonly fault: FaultName;
    readonly seed: number;
    readonly requests: number;
    readonly firstToken: Readonly<Record<LengthClass, Percentiles>>;
    /** Percentiles of the time to first token of short requests over those of the same arrivals without long ones. */
    readonly slowdown: { readonly p50: number; readonly p95: number; };
    /** Percentiles of the ratio of each short request to itself without long ones. */
    readonly pairedSlowdown: { readonly p50: number; readonly p95: number; };
    readonly refused: number;
    readonly late: number;
    readonly unanswered: number;
    readonly utilisation: number;
}
