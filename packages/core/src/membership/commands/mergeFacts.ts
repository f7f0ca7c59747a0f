import type { Fact, HostId, IncarnationId, VersionedFact } from "@currantrill/protocol";
import type { GossipState, HeldFact } from "../model/gossipState.js";
import { isNewerFact } from "../queries/isNewerFact.js";

export interface MergedFacts {
    readonly gossipState: GossipState;
    /** Received facts that replaced the stored ones or were new. */
    readonly accepted: readonly VersionedFact[];
}

/**
 * Merges facts from a peer. A new fact is queued for every other connection. A fact that the peer has in at least the
 * stored version is removed from the peer's queue, which avoids most duplicate transmissions.
 */
export function mergeFacts(
    gossip: GossipState,
    from: HostId,
    received: readonly VersionedFact[],
    now: number,
): MergedFacts {
    const facts = new Map(gossip.facts);
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
    const pending = new Map([...gossip.pending].map(([host, queued]) =>
        host === from
            ? [host, new Set([...queued].filter(key => !knownToPeer.has(key)))] as const
            : [host, addKeys(queued, keys)] as const
    ));
    return { gossipState: { facts, pending }, accepted };
}

/** Host incarnation that publishes a fact. */
export interface FactOrigin {
    readonly host: HostId;
    readonly incarnation: IncarnationId;
}

/**
 * Publishes a fact of this host. The sequence is the wall-clock time, raised above the stored sequence if need be, so
 * that a restarted host or another monitor supersedes what was published before, whichever clock is ahead.
 */
export function publishFact(
    gossip: GossipState,
    origin: FactOrigin,
    fact: Fact,
    time: { readonly wallMs: number; readonly now: number; },
): MergedFacts {
    const key = toFactKey(fact);
    const held = gossip.facts.get(key)?.versioned;
    const sequence = Math.max(time.wallMs, (held?.sequence ?? 0) + 1);
    const versioned = { key, origin: origin.host, incarnation: origin.incarnation, sequence, fact };
    return mergeFacts(gossip, origin.host, [versioned], time.now);
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

/** Drops the facts for which `isDropped` holds, such as those about hosts and endpoints that were removed. */
export function dropFacts(gossip: GossipState, isDropped: (held: HeldFact) => boolean): GossipState {
    const facts = new Map([...gossip.facts].filter(([, held]) => !isDropped(held)));
    return { ...gossip, facts };
}

function addKeys(queued: ReadonlySet<string>, keys: readonly string[]): ReadonlySet<string> {
    return keys.length === 0 ? queued : new Set([...queued, ...keys]);
}
