/**
 * Leases on the orders to one endpoint. An order makes the endpoint load or unload a model or an adapter; a host sends
 * orders only while it holds the endpoint's lease.
 */
import type { FencingToken, HostId, IncarnationId } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";

/** Duration of a lease, from the start of the write that took it. */
export const LEASE_MS = 30_000;
/** Maximum time from the check of the lease to the arrival of the order at the endpoint. */
export const MAX_ORDER_TRANSIT_MS = 5_000;

export const LEASES_TABLE = "leases";

/** Row `endpoint/<name>` of the table `leases`. */
export interface LeaseRow {
    readonly holder: HostId;
    /** Process run of the holder. After a restart the same host has another incarnation. */
    readonly incarnation: IncarnationId;
    readonly token: FencingToken;
}

/** Lease of another host, and since when its row has been seen unchanged. */
export interface ObservedLease {
    readonly version: number;
    readonly firstSeenAt: Clocks;
}

/** A lease that this host holds. */
export interface HeldLease {
    readonly token: FencingToken;
    readonly version: number;
    /** Start of the write that took it. */
    readonly takenAt: Clocks;
}

/** What to do about a lease that this host does not hold. */
export type LeaseDecision =
    /** Write the row with this token on the condition of its version. */
    | { readonly action: "take"; readonly token: FencingToken; readonly version: number; }
    /** Another host may still act on the lease; check again after the delay. */
    | { readonly action: "wait"; readonly observed: ObservedLease; readonly delayMs: number; };
