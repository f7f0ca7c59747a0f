/**
 * Gossip state of a host: the facts that it has, and for each connection the keys of the facts still to be sent over
 * it. A fact is a versioned gossip entry.
 */
import type { HostId, VersionedFact } from "@currantrill/protocol";

export interface HeldFact {
    readonly versioned: VersionedFact;
    /** Time of receipt on the host's monotonic clock. */
    readonly receivedAtMs: number;
}

export interface GossipState {
    readonly facts: ReadonlyMap<string, HeldFact>;
    /** Keys queued for each connected host, until the next batch of its connection is sent. */
    readonly pending: ReadonlyMap<HostId, ReadonlySet<string>>;
}

export const emptyGossipState: GossipState = { facts: new Map(), pending: new Map() };
