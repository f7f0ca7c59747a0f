export interface BorrowLimitInput {
    /** Largest fraction of the pool's slots that the rule lets the workspace hold, above 0 and at most 1. */
    readonly maxShare: number;
    readonly poolSlots: number;
    /** Fraction of the workspace's entitlement that this host may use, from 0 to 1. */
    readonly fraction: number;
}

/**
 * Computes how many slots of a borrowed pool a workspace may hold through this host. Each host may use at least one;
 * the fleet therefore exceeds the rule by at most one slot per host.
 */
export function computeBorrowLimit({ maxShare, poolSlots, fraction }: BorrowLimitInput): number {
    return Math.max(1, Math.floor(maxShare * poolSlots * fraction));
}
