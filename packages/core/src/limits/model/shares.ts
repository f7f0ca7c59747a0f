/** Parts of one workspace's entitlement that scopes hold. A scope is a host of the own domain, or another domain. */

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

export interface ShareState {
    /** Last fraction of each scope while it was reachable. An unreachable scope stays charged with it. */
    readonly charged: ReadonlyMap<string, number>;
    /** Own fractions computed within the last exchange interval, oldest first. */
    readonly computed: readonly { readonly fraction: number; readonly atMs: number; }[];
}

export const emptyShareState: ShareState = { charged: new Map(), computed: [] };
