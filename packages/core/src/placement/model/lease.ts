/** Leases on the orders to one endpoint. */
import type { FencingToken, HostId, IncarnationId } from "@currantrill/protocol";
import type { Clocks } from "../../model/clocks.js";

/** Time from the start of the write that took the lease until it expires. */
export const LEASE_MS = 30_000;
/** Longest time from the check of the lease to the arrival of the order at the endpoint. */
export const LONGEST_SEND_MS = 5_000;

export const LEASES_TABLE = "leases";

/** Row `endpoint/<name>` of the table `leases`. */
export interface LeaseRow {
    readonly holder: HostId;
    readonly incarnation: IncarnationId;
    readonly token: FencingToken;
}

/** A lease that another host holds, as long as its row has been seen unchanged. */
export interface ObservedLease {
    readonly version: number;
    readonly seenSince: Clocks;
}

/** A lease that this host holds. */
export interface HeldLease {
    readonly token: FencingToken;
    readonly version: number;
    /** Start of the write that took it. */
    readonly takenAt: Clocks;
}

export type LeaseDecision =
    /** Write the row with this token on the condition of its version. */
    | { readonly action: "take"; readonly token: FencingToken; readonly version: number; }
    /** Another host may still act on it; look again after the delay. */
    | { readonly action: "wait"; readonly observed: ObservedLease; readonly delayMs: number; };
