/** Prefix cache of the engine stand-in: KV memory of finished prompts, evicted in least recently used order. */
import { type CacheEvent, getPrefixTokens } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Above this number of events, the older half is removed. */
const MAX_EVENTS = 2_000;

/** Event with its time on the monotonic clock. */
interface TimedCacheEvent {
    readonly event: CacheEvent;
    readonly atMs: number;
}

/** Cached prefixes, and the events that report their changes. */
export interface PrefixCache {
    /** Tokens that each prefix adds to the next shorter one, by hash; least recently used first. */
    readonly entries: Map<string, number>;
    /** Fraction of the events that is lost (0 to 1). */
    readonly eventLossFraction: number;
    readonly random: RandomGenerator;
    events: TimedCacheEvent[];
    /** Sequence number of the last event, including lost ones. */
    sequence: number;
    usedTokens: number;
}

/** Creates an empty cache. `random` decides which events are lost. */
export const createPrefixCache = (eventLossFraction: number, random: RandomGenerator): PrefixCache => ({
    entries: new Map(),
    eventLossFraction,
    random,
    events: [],
    sequence: 0,
    usedTokens: 0,
});

/** Returns the length of the longest cached prefix in tokens, at most `promptTokens`, and marks it as recently used. */
export function matchPrefix(cache: PrefixCache, hashes: readonly string[], promptTokens: number): number {
    let matched = 0;
    for (const [index, hash] of hashes.entries()) {
        const tokens = cache.entries.get(hash);
        if (tokens === undefined) {
            break;
        }
        cache.entries.delete(hash);
        cache.entries.set(hash, tokens);
        matched = getPrefixTokens(index);
    }
    return Math.min(matched, promptTokens);
}

/** Adds the prefixes of a prompt, shortest first, as far as `limitTokens` allows. Evicts other prefixes to free memory. */
export function addPrefixes(
    cache: PrefixCache,
    hashes: readonly string[],
    promptTokens: number,
    limitTokens: number,
): void {
    for (const [index, hash] of hashes.entries()) {
        const tokens = getPrefixTokens(index) - (index === 0 ? 0 : getPrefixTokens(index - 1));
        if (getPrefixTokens(index) > promptTokens || tokens > limitTokens) {
            return;
        }
        if (!cache.entries.has(hash)) {
            evictPrefixes(cache, limitTokens - tokens);
            cache.entries.set(hash, tokens);
            cache.usedTokens += tokens;
            recordEvent(cache, "stored", hash, tokens);
        }
    }
}

/** Evicts prefixes until the cache uses at most `limitTokens`. */
export function evictPrefixes(cache: PrefixCache, limitTokens: number): void {
    for (const [hash, tokens] of cache.entries) {
        if (cache.usedTokens <= limitTokens) {
            return;
        }
        cache.entries.delete(hash);
        cache.usedTokens -= tokens;
        recordEvent(cache, "evicted", hash, tokens);
    }
}

/** Lists the published events after a sequence number. An event is published `delayMs` milliseconds after it occurred. */
export const listCacheEvents = (cache: PrefixCache, after: number, delayMs: number): CacheEvent[] =>
    cache.events
        .filter(({ event, atMs }) => event.sequence > after && atMs <= performance.now() - delayMs)
        .map(({ event }) => event);

function recordEvent(cache: PrefixCache, action: CacheEvent["action"], hash: string, tokens: number): void {
    cache.sequence += 1;
    if (uniformFloat64(cache.random) < cache.eventLossFraction) {
        return;
    }
    const event: CacheEvent = { sequence: cache.sequence, action, prefix_hash: hash, tokens };
    cache.events.push({ event, atMs: performance.now() });
    if (cache.events.length > MAX_EVENTS) {
        cache.events = cache.events.slice(-MAX_EVENTS / 2);
    }
}
