import type { RoutingPolicyName } from "@currantrill/core";

/** Wall-clock time of one routing decision, in microseconds. */
export interface DecisionTime {
    readonly policy: RoutingPolicyName;
    readonly endpoints: number;
    readonly decisions: number;
    readonly p50Us: number;
    readonly p99Us: number;
}
