export interface BorrowLimitInput {
    /** Largest part of the pool's slots that the rule lets the workspace hold, above 0 and at most 1. */
    readonly maxShare: number;
    /** Slots of all endpoints of the pool. */
    readonly poolSlots: number;
    /** Part of the workspace's entitlement that this host may use, from 0 to 1. */
    readonly fraction: number;
}

/**
 * Slots of a borrowed pool that a workspace may hold through this host. Each host may use at least one, so that the
 * whole fleet exceeds the rule by at most one slot for each host.
 */
export function computeBorrowLimit({ maxShare, poolSlots, fraction }: BorrowLimitInput): number {
    return Math.max(1, Math.floor(maxShare * poolSlots * fraction));
}
