import type { EndpointId } from "@currantrill/protocol";
import { computePrefixBucket, type PrefixIndex } from "../model/prefixIndex.js";

/** Time after which half of the entries that were not seen again are assumed to be evicted. */
export const PREFIX_HALF_LIFE_MS = 120_000;

/**
 * Finds the expected prompt tokens in each endpoint's cache, which decrease with the age of the entry. Endpoints
 * without an entry are absent.
 */
export function findPrefixHits(
    index: PrefixIndex,
    prefixHashes: readonly string[],
    now: number,
): ReadonlyMap<EndpointId, number> {
    const hits = new Map<EndpointId, number>();
    for (const hash of prefixHashes) {
        for (const entry of index.buckets[computePrefixBucket(hash)]?.get(hash) ?? []) {
            const expected = entry.tokens * 2 ** (-Math.max(0, now - entry.seenAtMs) / PREFIX_HALF_LIFE_MS);
            hits.set(entry.endpoint, Math.max(hits.get(entry.endpoint) ?? 0, expected));
        }
    }
    return hits;
}
