import type { Fact, HostId, IncarnationId, VersionedFact } from "@currantrill/protocol";
import type { Flood, HeldFact } from "../model/flood.js";
import { isNewerFact } from "../queries/isNewerFact.js";

export interface MergedFacts {
    readonly flood: Flood;
    /** The facts that were new. */
    readonly accepted: readonly VersionedFact[];
}

/**
 * Merges facts that a peer sent. A new fact is queued for every other connection. A fact that the peer has in at least
 * the held version is taken off the peer's queue, which saves most of the copies that flooding would send twice.
 */
export function mergeFacts(flood: Flood, from: HostId, received: readonly VersionedFact[], now: number): MergedFacts {
    const facts = new Map(flood.facts);
    const accepted: VersionedFact[] = [];
    const knownToPeer = new Set<string>();
    for (const versioned of received) {
        const held = facts.get(versioned.key)?.versioned;
        if (isNewerFact(versioned, held)) {
            facts.set(versioned.key, { versioned, receivedAtMs: now });
            accepted.push(versioned);
            knownToPeer.add(versioned.key);
        }
        else if (held?.sequence === versioned.sequence && held.origin === versioned.origin) {
            knownToPeer.add(versioned.key);
        }
    }
    const keys = accepted.map(versioned => versioned.key);
    const pending = new Map([...flood.pending].map(([host, queued]) =>
        host === from
            ? [host, new Set([...queued].filter(key => !knownToPeer.has(key)))] as const
            : [host, addKeys(queued, keys)] as const
    ));
    return { flood: { facts, pending }, accepted };
}

export interface Origin {
    readonly host: HostId;
    readonly incarnation: IncarnationId;
}

/**
 * Publishes a fact of the host itself. The sequence is the wall clock, raised above the held one, so that a restarted
 * host or another watcher supersedes what was published before, whichever clock is ahead.
 */
export function publishFact(
    flood: Flood,
    origin: Origin,
    fact: Fact,
    time: { readonly wallMs: number; readonly now: number; },
): MergedFacts {
    const key = toFactKey(fact);
    const held = flood.facts.get(key)?.versioned;
    const sequence = Math.max(time.wallMs, (held?.sequence ?? 0) + 1);
    const versioned = { key, origin: origin.host, incarnation: origin.incarnation, sequence, fact };
    return mergeFacts(flood, origin.host, [versioned], time.now);
}

const subjects: { readonly [K in Fact["kind"]]: (fact: Extract<Fact, { kind: K; }>) => string; } = {
    endpoint: fact => fact.endpoint,
    host: fact => fact.host,
    demand: fact => fact.scope,
    stop: fact => fact.endpoint,
};

/** Key of a fact, `<kind>/<subject>`. */
export function toFactKey(fact: Fact): string {
    const describeSubject = subjects[fact.kind] as (fact: Fact) => string;
    return `${fact.kind}/${describeSubject(fact)}`;
}

/** Drops facts for which the rule says so, such as those about hosts and endpoints that are gone. */
export function dropFacts(flood: Flood, isDropped: (held: HeldFact) => boolean): Flood {
    const facts = new Map([...flood.facts].filter(([, held]) => !isDropped(held)));
    return { ...flood, facts };
}

function addKeys(queued: ReadonlySet<string>, keys: readonly string[]): ReadonlySet<string> {
    return keys.length === 0 ? queued : new Set([...queued, ...keys]);
}
