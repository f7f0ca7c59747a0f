/** What a host last heard about each endpoint, for the data path. */
import type { CacheEvent, EndpointDigest, EndpointId } from "@currantrill/protocol";

export interface ReceivedDigest {
    readonly digest: EndpointDigest;
    readonly receivedAtMs: number;
}

/** Cache events of an endpoint that this host watches. */
export interface CacheEventBatch {
    readonly endpoint: EndpointId;
    readonly events: readonly CacheEvent[];
    /** Whether events were lost before the first one of the batch. */
    readonly hasGap: boolean;
}

export interface EndpointViews {
    readonly digests: Map<EndpointId, ReceivedDigest>;
    readonly cacheListeners: Set<(batch: CacheEventBatch) => void>;
}

export const createEndpointViews = (): EndpointViews => ({ digests: new Map(), cacheListeners: new Set() });

/** Age of the report behind a digest, in milliseconds on this host's clock. */
export const computeDigestAge = ({ digest, receivedAtMs }: ReceivedDigest, now: number): number =>
    digest.ageMs + now - receivedAtMs;
