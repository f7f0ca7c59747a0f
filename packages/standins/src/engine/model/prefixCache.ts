/** Prefix cache: least recently used prefixes are evicted first. */
import { type CacheEvent, getPrefixTokens } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const MAX_EVENTS = 2_000;

interface TimedCacheEvent {
    readonly event: CacheEvent;
    readonly atMs: number;
}

export interface PrefixCache {
    /** Memory of each prefix beyond the next shorter one, in order of use. */
    readonly entries: Map<string, number>;
    readonly eventLoss: number;
    readonly random: RandomGenerator;
    events: TimedCacheEvent[];
    sequence: number;
    usedTokens: number;
}

export const createPrefixCache = (eventLoss: number, random: RandomGenerator): PrefixCache => ({
    entries: new Map(),
    eventLoss,
    random,
    events: [],
    sequence: 0,
    usedTokens: 0,
});

/** Length of the longest cached prefix in tokens, at most `promptTokens`. Counts as a use. */
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

/** Stores the prefixes of a prompt as far as memory allows. */
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

/** Published events after a sequence number. An event is published `delayMs` after it happened. */
export const listCacheEvents = (cache: PrefixCache, after: number, delayMs: number): CacheEvent[] =>
    cache.events
        .filter(({ event, atMs }) => event.sequence > after && atMs <= performance.now() - delayMs)
        .map(({ event }) => event);

function recordEvent(cache: PrefixCache, action: CacheEvent["action"], hash: string, tokens: number): void {
    cache.sequence += 1;
    if (uniformFloat64(cache.random) < cache.eventLoss) {
        return;
    }
    const event: CacheEvent = { sequence: cache.sequence, action, prefix_hash: hash, tokens };
    cache.events.push({ event, atMs: performance.now() });
    if (cache.events.length > MAX_EVENTS) {
        cache.events = cache.events.slice(-MAX_EVENTS / 2);
    }
}
