/** State that a host keeps between rounds of model placement. */
import {
    createLoadRateLimiter,
    type HeldLease,
    type LoadRateLimiter,
    type LoadRateOptions,
    type ObservedLease,
} from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";

/** Leases, orders in progress and the rate limit of model loads on this host. Times are monotonic, in milliseconds. */
export interface PlacementState {
    readonly startedAtMs: number;
    /** Limits the model loads of the failure domain to its share of the rate of the weight store. */
    loadRateLimiter: LoadRateLimiter;
    /** Leases that this host has acquired; they may have expired since. */
    readonly heldLeases: Map<EndpointId, HeldLease>;
    /** Leases of other hosts with the time since which they are unchanged, to determine when one has expired. */
    readonly observedLeases: Map<EndpointId, ObservedLease>;
    /** Endpoints with an order in progress. */
    readonly pendingOrders: Set<EndpointId>;
    /** Time since which each unreachable endpoint has been unreachable. */
    readonly unreachableSince: Map<EndpointId, number>;
}

export function createPlacementState(options: LoadRateOptions): PlacementState {
    const now = performance.now();
    return {
        startedAtMs: now,
        loadRateLimiter: createLoadRateLimiter(options, now),
        heldLeases: new Map(),
        observedLeases: new Map(),
        pendingOrders: new Set(),
        unreachableSince: new Map(),
    };
}
