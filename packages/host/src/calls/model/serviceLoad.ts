/** Calls that this host has in flight on service endpoints, and recent failures that it observed there. */
import type { EndpointId } from "@currantrill/protocol";

/** Time in milliseconds for which other endpoints are preferred after a failure. */
const SUSPECT_DURATION_MS = 3_000;

/** Load and health of service endpoints as known to this host. Plain services send no load reports. */
export interface ServiceLoad {
    /** Counts a call as in flight until the returned function is called. */
    begin(endpoint: EndpointId): () => void;
    countInFlight(endpoint: EndpointId): number;
    /** Makes the endpoint suspect for `SUSPECT_DURATION_MS`. */
    markSuspect(endpoint: EndpointId): void;
    isSuspect(endpoint: EndpointId): boolean;
}

export function createServiceLoad(): ServiceLoad {
    const inFlight = new Map<EndpointId, number>();
    const suspectUntilMs = new Map<EndpointId, number>();
    const adjustCount = (endpoint: EndpointId, change: number): void => {
        inFlight.set(endpoint, (inFlight.get(endpoint) ?? 0) + change);
    };
    return {
        begin: endpoint => {
            adjustCount(endpoint, 1);
            return () => adjustCount(endpoint, -1);
        },
        countInFlight: endpoint => inFlight.get(endpoint) ?? 0,
        markSuspect: endpoint => void suspectUntilMs.set(endpoint, performance.now() + SUSPECT_DURATION_MS),
        isSuspect: endpoint => (suspectUntilMs.get(endpoint) ?? 0) > performance.now(),
    };
}
