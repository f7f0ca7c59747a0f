/** Facts that a host holds, and for each connection the keys that still have to be sent over it. */
import type { HostId, VersionedFact } from "@currantrill/protocol";

export interface HeldFact {
    readonly versioned: VersionedFact;
    /** Time of receipt on the host's monotonic clock. */
    readonly receivedAtMs: number;
}

export interface Flood {
    readonly facts: ReadonlyMap<string, HeldFact>;
    /** Keys by connected host. A key waits here until the batch of the connection is sent. */
    readonly pending: ReadonlyMap<HostId, ReadonlySet<string>>;
}

export const emptyFlood: Flood = { facts: new Map(), pending: new Map() };
