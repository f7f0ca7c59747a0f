/**
 * Division of one workspace's entitlement between scopes. A scope is a host of the local failure domain, or all hosts
 * of a remote failure domain.
 */

import { SUSPICION_TIMEOUT_MS } from "../../membership/model/member.js";

/** Fraction of the entitlement that is split evenly over hosts, so that a host without published demand can serve. */
export const EVENLY_SPLIT_FRACTION = 0.2;
/**
 * Time within which a published demand reaches every host: 5 s until the failure domain next sums its demand, 5 s until
 * the next batch between domains, and up to 4 s of gossip in each of two domains.
 */
export const EXCHANGE_INTERVAL_MS = 20_000;

export interface DemandScope {
    /** Name of the host or of the failure domain. */
    readonly scope: string;
    readonly hosts: number;
    /** Tokens per second; the equal share if none is published. */
    readonly demand: number;
    readonly isReachable: boolean;
}

/**
 * Length of the window over which the largest fraction of a scope is recorded. An unreachable scope is charged with it:
 * the window covers an exchange interval, in which the scope may have computed with older demands, and the suspicion
 * time, in which it no longer sends heartbeats and still counts as reachable. When the last fraction was charged
 * instead, both sides of a partition grew to 192% of the entitlement together.
 */
export const PEAK_WINDOW_MS = EXCHANGE_INTERVAL_MS + SUSPICION_TIMEOUT_MS;

/** Largest fractions of the scopes in the current window and in the previous one. */
export interface SharePeaks {
    readonly startedAtMs: number;
    readonly current: ReadonlyMap<string, number>;
    readonly previous: ReadonlyMap<string, number>;
}

/** Division of one workspace's entitlement as this host computed it. */
export interface ShareState {
    /** Fractions charged to unreachable scopes, fixed until the scope is reachable again or no longer listed. */
    readonly charged: ReadonlyMap<string, number>;
    readonly peaks: SharePeaks;
    /** Fractions computed for this host's scope within the last exchange interval, oldest first. */
    readonly computed: readonly { readonly fraction: number; readonly atMs: number; }[];
}

/** State of a workspace before the first `updateShares`. */
export const emptyShareState: ShareState = {
    charged: new Map(),
    peaks: { startedAtMs: 0, current: new Map(), previous: new Map() },
    computed: [],
};
