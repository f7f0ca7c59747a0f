/** This host's own calls in flight on service endpoints, and failures that it has seen. */
import type { EndpointId } from "@currantrill/protocol";

const SUSPECT_MS = 3_000;

export interface ServiceLoad {
    /** Counts a call until the returned function is called. */
    begin(endpoint: EndpointId): () => void;
    countInFlight(endpoint: EndpointId): number;
    markSuspect(endpoint: EndpointId): void;
    isSuspect(endpoint: EndpointId): boolean;
}

export function createServiceLoad(): ServiceLoad {
    const inFlight = new Map<EndpointId, number>();
    const suspectUntilMs = new Map<EndpointId, number>();
    const add = (endpoint: EndpointId, change: number): void => {
        inFlight.set(endpoint, (inFlight.get(endpoint) ?? 0) + change);
    };
    return {
        begin: endpoint => {
            add(endpoint, 1);
            return () => add(endpoint, -1);
        },
        countInFlight: endpoint => inFlight.get(endpoint) ?? 0,
        markSuspect: endpoint => void suspectUntilMs.set(endpoint, performance.now() + SUSPECT_MS),
        isSuspect: endpoint => (suspectUntilMs.get(endpoint) ?? 0) > performance.now(),
    };
}
