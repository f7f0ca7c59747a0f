/** What a host remembers about the placement of models. */
import { createPacing, type HeldLease, type ObservedLease, type Pacing, type PacingOptions } from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";

export interface PlacementState {
    readonly startedAtMs: number;
    pacing: Pacing;
    readonly held: Map<EndpointId, HeldLease>;
    readonly observed: Map<EndpointId, ObservedLease>;
    /** Endpoints to which an order is under way. */
    readonly busy: Set<EndpointId>;
    /** When each endpoint was first found unreachable. */
    readonly unreachableSince: Map<EndpointId, number>;
}

export function createPlacementState(options: PacingOptions): PlacementState {
    const now = performance.now();
    return {
        startedAtMs: now,
        pacing: createPacing(options, now),
        held: new Map(),
        observed: new Map(),
        busy: new Set(),
        unreachableSince: new Map(),
    };
}
