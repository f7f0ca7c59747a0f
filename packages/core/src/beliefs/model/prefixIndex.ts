/** Estimate of which endpoint holds which prompt prefix in its cache. */
import type { EndpointId } from "@currantrill/protocol";

export interface PrefixEntry {
    readonly endpoint: EndpointId;
    readonly tokens: number;
    /** Time of the last event or of the host's own use. */
    readonly seenAtMs: number;
}

type PrefixBucket = ReadonlyMap<string, readonly PrefixEntry[]>;

/**
 * Entries by prefix hash. They are split over buckets so that one change copies a small part of the index.
 */
export interface PrefixIndex {
    readonly buckets: readonly PrefixBucket[];
    /** Last cache event sequence of each endpoint. An endpoint in need of a resync is absent. */
    readonly sequences: ReadonlyMap<EndpointId, number>;
}

export const PREFIX_BUCKETS = 256;

export const emptyPrefixIndex: PrefixIndex = {
    buckets: Array.from({ length: PREFIX_BUCKETS }, (): PrefixBucket => new Map()),
    sequences: new Map(),
};

/** Position of the bucket of a hash. */
export function computePrefixBucket(hash: string): number {
    let sum = 0;
    for (let position = 0; position < hash.length; position += 1) {
        sum = (sum * 31 + hash.charCodeAt(position)) % PREFIX_BUCKETS;
    }
    return sum;
}
