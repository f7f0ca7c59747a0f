/**
 * Lending state: whether this host may use an endpoint, and since when it may not. An endpoint is taken out of use by a
 * ticket (reclaim), by a local stop that an operator sets on a host, at the endpoint itself (withdraw), or by the
 * evacuation of its failure domain.
 */
import type { EndpointId, StopFact } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";

/** Local stops known to the host: for each endpoint the one with the highest lend epoch. */
export type LocalStops = Readonly<Record<EndpointId, StopFact>>;

/**
 * Latest time, on the host's clocks, at which its configuration is known to have matched the platform's.
 * `undefined` before the first confirmation.
 */
export interface Freshness {
    readonly confirmedAt: Clocks | undefined;
}

/** Whether the owner has withdrawn the endpoint, as the endpoint itself reported it, directly or in a load digest. */
export interface OwnerReport {
    readonly withdrawn: boolean;
}

export type LendingDecision =
    | { readonly usable: true; }
    | { readonly usable: false; readonly reason: LendingReason; };

/**
 * Cause of an unusable endpoint. `evacuated`: its failure domain takes no new work. `silent`: no confirmation of the
 * configuration for longer than `maxSilenceMs`.
 */
export type LendingReason = "reclaimed" | "stopped" | "withdrawn" | "evacuated" | "silent";

/** Start of the current unusable period of each endpoint, from which the grace period counts. */
export type ReclaimTimes = Readonly<Record<EndpointId, Clocks>>;

/** Action for a request that is in flight on an endpoint. */
export type InFlightDecision = "continue" | "move" | "cancel";

/** Safeguards that the proofs can disable; no daemon setting changes them. */
export interface LendingSafeguards {
    readonly obeyReclaim: boolean;
    readonly obeyStops: boolean;
    readonly obeyWithdrawal: boolean;
    readonly obeyEvacuation: boolean;
    readonly obeyMaxSilence: boolean;
}

export const allLendingSafeguards: LendingSafeguards = {
    obeyReclaim: true,
    obeyStops: true,
    obeyWithdrawal: true,
    obeyEvacuation: true,
    obeyMaxSilence: true,
};
