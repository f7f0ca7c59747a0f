import type { FailureDomainId } from "@currantrill/protocol";
import type { Assignment } from "./assignment.js";

/** Load and health of an endpoint as known to this host, by which placement decides. */
export interface EndpointLoad {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Number of requests that the endpoint serves concurrently. */
    readonly slots: number;
    /** Assignments of this host and its peers to the endpoint. */
    readonly assignments: readonly Assignment[];
    /** Recent failures, which decay over time; see `getFailures`. */
    readonly failures: number;
    /** Whether the endpoint does not respond to this host, or to several of its peers. */
    readonly isUnresponsive: boolean;
    /** Fraction of the endpoints in its failure domain that are unresponsive; 0 in the local failure domain. */
    readonly domainUnresponsiveFraction: number;
    /**
     * Number from 0 to 1 that differs between hosts, so that they do not all choose the same one of equal endpoints.
     */
    readonly bias: number;
    /** Time of the endpoint's work relative to its published figures; 1 is as published, above 1 it is slow. */
    readonly slowdown: number;
    /** Whether the endpoint names a limit on the rate of requests that it takes. */
    readonly isRateLimited: boolean;
}
