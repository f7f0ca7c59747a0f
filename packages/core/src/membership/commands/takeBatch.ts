import type { Fact, HostId, VersionedFact } from "@currantrill/protocol";
import type { Flood, HeldFact } from "../model/flood.js";

/** Opens a queue for a new connection. What the peer lacks is sent as a snapshot, so the queue starts empty. */
export function openQueue(flood: Flood, host: HostId): Flood {
    return { ...flood, pending: new Map([...flood.pending, [host, new Set<string>()]]) };
}

/** Drops the queue of a closed connection. */
export function closeQueue(flood: Flood, host: HostId): Flood {
    return { ...flood, pending: new Map([...flood.pending].filter(([queued]) => queued !== host)) };
}

export interface Batch {
    readonly flood: Flood;
    readonly facts: readonly VersionedFact[];
}

/** Takes the facts that wait for a connection and pass the filter. Facts that do not pass are taken off the queue. */
export function takeBatch(
    flood: Flood,
    host: HostId,
    now: number,
    passes: (held: HeldFact) => boolean = () => true,
): Batch {
    const queued = flood.pending.get(host);
    if (queued === undefined || queued.size === 0) {
        return { flood, facts: [] };
    }
    const facts = [...queued]
        .map(key => flood.facts.get(key))
        .filter((held): held is HeldFact => held !== undefined && passes(held))
        .map(held => ageFact(held, now));
    const pending = new Map([...flood.pending, [host, new Set<string>()]]);
    return { flood: { ...flood, pending }, facts };
}

/** Lists the facts that pass the filter for a peer that has just connected. */
export function listSnapshot(flood: Flood, now: number, passes: (held: HeldFact) => boolean): VersionedFact[] {
    return [...flood.facts.values()].filter(passes).map(held => ageFact(held, now));
}

/** Adds the time that a digest was held here to the age that it states, so that no clocks are compared. */
function ageFact(held: HeldFact, now: number): VersionedFact {
    const fact: Fact = held.versioned.fact;
    if (fact.kind !== "endpoint") {
        return held.versioned;
    }
    const ageMs = Math.round(fact.ageMs + now - held.receivedAtMs);
    return { ...held.versioned, fact: { ...fact, ageMs } };
}
