/** Whether an endpoint may be used, and since when it may not. */
import type { EndpointId, StopFact } from "@currantrill/protocol";
import type { Clocks } from "../../model/clocks.js";

/** Local stops that the host knows: for each endpoint the one with the highest lend epoch. */
export type LocalStops = Readonly<Record<EndpointId, StopFact>>;

/**
 * The latest time, on the host's own clocks, at which its configuration is known to have been the platform's.
 * `undefined` before the first confirmation.
 */
export interface Freshness {
    readonly confirmedAt: Clocks | undefined;
}

/** Owner's wish as the endpoint itself reported it, directly or in a digest. */
export interface OwnerReport {
    readonly withdrawn: boolean;
}

export type LendingDecision =
    | { readonly usable: true; }
    | { readonly usable: false; readonly reason: LendingReason; };

export type LendingReason = "reclaimed" | "stopped" | "withdrawn" | "silent";

/** Times since when endpoints have been unusable without a break; the grace period counts from them. */
export type ReclaimTimes = Readonly<Record<EndpointId, Clocks>>;

/** What becomes of a request in flight on an endpoint. */
export type InFlightDecision = "continue" | "move" | "cancel";

/** Safeguards that the proofs can switch off; no setting of the daemon reaches them. */
export interface LendingSafeguards {
    readonly obeyReclaim: boolean;
    readonly obeyStops: boolean;
    readonly obeyReports: boolean;
    readonly obeySilence: boolean;
}

export const allLendingSafeguards: LendingSafeguards = {
    obeyReclaim: true,
    obeyStops: true,
    obeyReports: true,
    obeySilence: true,
};
