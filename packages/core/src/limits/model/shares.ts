/** Parts of one workspace's entitlement that scopes hold. A scope is a host of the own domain, or another domain. */

import { SUSPICION_MS } from "../../membership/model/member.js";

/** Part of the entitlement that is split evenly over hosts, so that a host without published demand can serve. */
export const SHARE_FLOOR = 0.2;
/**
 * Time within which a published demand reaches every host: 5 s to the next sum of the domain, 5 s batch between domains,
 * and up to 4 s of flooding in each of two domains.
 */
export const EXCHANGE_INTERVAL_MS = 20_000;

export interface DemandScope {
    readonly scope: string;
    readonly hosts: number;
    /** Tokens per second; the equal share if none is published. */
    readonly demand: number;
    readonly isReachable: boolean;
}

/**
 * Time before a scope counts as unreachable for which its largest fraction is charged: an exchange interval, in which the
 * scope may have known older demands, and the suspicion time, in which it is no longer heard and still counts as
 * reachable. Charging its last fraction instead let both sides of a partition grow to 192% of the entitlement together.
 */
export const CHARGE_WINDOW_MS = EXCHANGE_INTERVAL_MS + SUSPICION_MS;

/** Largest fractions of the scopes in the current window and in the one before. */
export interface SharePeaks {
    readonly startedAtMs: number;
    readonly current: ReadonlyMap<string, number>;
    readonly previous: ReadonlyMap<string, number>;
}

export interface ShareState {
    /** Fractions of unreachable scopes, unchanged until the scope is reachable again or no longer listed. */
    readonly charged: ReadonlyMap<string, number>;
    readonly peaks: SharePeaks;
    /** Own fractions computed within the last exchange interval, oldest first. */
    readonly computed: readonly { readonly fraction: number; readonly atMs: number; }[];
}

export const emptyShareState: ShareState = {
    charged: new Map(),
    peaks: { startedAtMs: 0, current: new Map(), previous: new Map() },
    computed: [],
};
