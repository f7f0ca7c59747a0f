/** Estimate of which endpoints have which prompt prefixes in their caches. */
import type { EndpointId } from "@currantrill/protocol";

/** A prefix of `tokens` tokens that an endpoint probably has in its cache. */
export interface PrefixEntry {
    readonly endpoint: EndpointId;
    readonly tokens: number;
    /** Time of the last cache event about the prefix or of the last request of this host that used it. */
    readonly seenAtMs: number;
}

type PrefixBucket = ReadonlyMap<string, readonly PrefixEntry[]>;

/** Entries by prefix hash. The index is immutable and split into buckets, so that an update copies one bucket only. */
export interface PrefixIndex {
    readonly buckets: readonly PrefixBucket[];
    /** Sequence number of the last applied cache event of each endpoint; none for an endpoint that needs a resync. */
    readonly sequences: ReadonlyMap<EndpointId, number>;
}

export const PREFIX_BUCKET_COUNT = 256;

export const emptyPrefixIndex: PrefixIndex = {
    buckets: Array.from({ length: PREFIX_BUCKET_COUNT }, (): PrefixBucket => new Map()),
    sequences: new Map(),
};

export function computePrefixBucket(hash: string): number {
    let sum = 0;
    for (let position = 0; position < hash.length; position += 1) {
        sum = (sum * 31 + hash.charCodeAt(position)) % PREFIX_BUCKET_COUNT;
    }
    return sum;
}
