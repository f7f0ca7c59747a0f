import type { CacheEvent, EndpointId } from "@currantrill/protocol";
import { computePrefixBucket, type PrefixEntry, type PrefixIndex } from "../model/prefixIndex.js";

export interface CacheEventsResult {
    readonly index: PrefixIndex;
    /** Whether events are missing. The endpoint's entries have been dropped; fetch its cache events again from 0. */
    readonly needsResync: boolean;
}

/**
 * Applies cache events of one endpoint. They arrive late, repeated and with gaps: known sequence numbers are skipped,
 * and a gap drops all entries of the endpoint.
 */
export function applyCacheEvents(
    index: PrefixIndex,
    endpoint: EndpointId,
    events: readonly CacheEvent[],
    now: number,
): CacheEventsResult {
    const lastApplied = index.sequences.get(endpoint);
    const newEvents = events.filter(event => lastApplied === undefined || event.sequence > lastApplied)
        .sort((a, b) => a.sequence - b.sequence);
    const hasGap = newEvents.some((event, position) => {
        const previous = position === 0 ? lastApplied : newEvents[position - 1]?.sequence;
        return previous !== undefined && event.sequence !== previous + 1;
    });
    if (hasGap) {
        return { index: dropEndpointPrefixes(index, endpoint), needsResync: true };
    }
    const last = newEvents.at(-1);
    if (last === undefined) {
        return { index, needsResync: false };
    }
    const updated = newEvents.reduce((current, event) => applyEvent(current, endpoint, event, now), index);
    const sequences = new Map(updated.sequences).set(endpoint, last.sequence);
    return { index: { ...updated, sequences }, needsResync: false };
}

/** Records that a request of this host put a prefix into an endpoint's cache, before the endpoint's event arrives. */
export function recordPrefix(index: PrefixIndex, hash: string, entry: PrefixEntry): PrefixIndex {
    return setEntries(index, hash, entries => [...entries.filter(other => other.endpoint !== entry.endpoint), entry]);
}

/** Drops all entries of an endpoint and its last sequence number, such as after a gap or a restart. */
export function dropEndpointPrefixes(index: PrefixIndex, endpoint: EndpointId): PrefixIndex {
    const sequences = new Map(index.sequences);
    sequences.delete(endpoint);
    const buckets = index.buckets.map(bucket =>
        new Map(
            [...bucket]
                .map(([hash, entries]) => [hash, entries.filter(entry => entry.endpoint !== endpoint)] as const)
                .filter(([, entries]) => entries.length > 0),
        )
    );
    return { buckets, sequences };
}

/** Evicts entries last seen before `oldestMs`. */
export function evictPrefixes(index: PrefixIndex, oldestMs: number): PrefixIndex {
    const buckets = index.buckets.map(bucket =>
        new Map(
            [...bucket]
                .map(([hash, entries]) => [hash, entries.filter(entry => entry.seenAtMs >= oldestMs)] as const)
                .filter(([, entries]) => entries.length > 0),
        )
    );
    return { ...index, buckets };
}

function applyEvent(index: PrefixIndex, endpoint: EndpointId, event: CacheEvent, now: number): PrefixIndex {
    return event.action === "stored"
        ? recordPrefix(index, event.prefix_hash, { endpoint, tokens: event.tokens, seenAtMs: now })
        : setEntries(index, event.prefix_hash, entries => entries.filter(entry => entry.endpoint !== endpoint));
}

function setEntries(
    index: PrefixIndex,
    hash: string,
    change: (entries: readonly PrefixEntry[]) => readonly PrefixEntry[],
): PrefixIndex {
    const position = computePrefixBucket(hash);
    const bucket = new Map(index.buckets[position]);
    const entries = change(bucket.get(hash) ?? []);
    if (entries.length === 0) {
        bucket.delete(hash);
    }
    else {
        bucket.set(hash, entries);
    }
    return { ...index, buckets: index.buckets.with(position, bucket) };
}
