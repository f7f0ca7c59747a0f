import type { Fact, HostId, VersionedFact } from "@currantrill/protocol";
import type { GossipState, HeldFact } from "../model/gossipState.js";

/** Opens the queue of a new connection. It starts empty, since the facts that the peer lacks are sent as a snapshot. */
export function openQueue(gossip: GossipState, host: HostId): GossipState {
    return { ...gossip, pending: new Map([...gossip.pending, [host, new Set<string>()]]) };
}

export function closeQueue(gossip: GossipState, host: HostId): GossipState {
    return { ...gossip, pending: new Map([...gossip.pending].filter(([queued]) => queued !== host)) };
}

export interface FactBatch {
    readonly gossipState: GossipState;
    readonly facts: readonly VersionedFact[];
}

/**
 * Empties the queue of a connection and returns the facts that `shouldSend` accepts. The others are dropped from it.
 */
export function takeBatch(
    gossip: GossipState,
    host: HostId,
    now: number,
    shouldSend: (held: HeldFact) => boolean = () => true,
): FactBatch {
    const queued = gossip.pending.get(host);
    if (queued === undefined || queued.size === 0) {
        return { gossipState: gossip, facts: [] };
    }
    const facts = [...queued]
        .map(key => gossip.facts.get(key))
        .filter((held): held is HeldFact => held !== undefined && shouldSend(held))
        .map(held => ageFact(held, now));
    const pending = new Map([...gossip.pending, [host, new Set<string>()]]);
    return { gossipState: { ...gossip, pending }, facts };
}

/** Lists the facts that pass the filter for a peer that has just connected. */
export function listSnapshot(
    gossip: GossipState,
    now: number,
    shouldSend: (held: HeldFact) => boolean,
): VersionedFact[] {
    return [...gossip.facts.values()].filter(shouldSend).map(held => ageFact(held, now));
}

/** Adds the time since the receipt of a digest to the age that it states, so that clocks of hosts are not compared. */
function ageFact(held: HeldFact, now: number): VersionedFact {
    const fact: Fact = held.versioned.fact;
    if (fact.kind !== "endpoint") {
        return held.versioned;
    }
    const ageMs = Math.round(fact.ageMs + now - held.receivedAtMs);
    return { ...held.versioned, fact: { ...fact, ageMs } };
}
