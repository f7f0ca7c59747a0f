/** Latest load digest of each endpoint, and listeners for cache events. */
import type { CacheEvent, EndpointDigest, EndpointId } from "@currantrill/protocol";

/** A load digest with the monotonic time at which this host received it. */
export interface ReceivedDigest {
    readonly digest: EndpointDigest;
    readonly receivedAtMs: number;
}

/** Cache events of an endpoint that this host monitors. */
export interface CacheEventBatch {
    readonly endpoint: EndpointId;
    readonly events: readonly CacheEvent[];
    /** Whether events were lost before the first one of the batch. */
    readonly hasGap: boolean;
}

/** Digests of all endpoints, received over gossip or published by this host. */
export interface EndpointMonitorState {
    readonly digests: Map<EndpointId, ReceivedDigest>;
    /** Called with each batch of cache events that this host has polled. */
    readonly cacheListeners: Set<(batch: CacheEventBatch) => void>;
}

export const createEndpointMonitorState = (): EndpointMonitorState => ({
    digests: new Map(),
    cacheListeners: new Set(),
});

/** Age of the load report that a digest was created from, in milliseconds on this host's monotonic clock. */
export const computeDigestAge = ({ digest, receivedAtMs }: ReceivedDigest, now: number): number =>
    digest.ageMs + now - receivedAtMs;
