import type { RoutingPolicyName } from "@currantrill/core";

/** Wall-clock times of the routing decisions of one policy; `p50Us` and `p99Us` are percentiles in microseconds. */
export interface DecisionTime {
    readonly policy: RoutingPolicyName;
    /** Number of candidates of each decision. */
    readonly endpoints: number;
    /** Number of measured decisions. */
    readonly decisions: number;
    readonly p50Us: number;
    readonly p99Us: number;
}
