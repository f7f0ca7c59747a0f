import { EXCHANGE_INTERVAL_MS, type ShareState } from "../model/shares.js";

/**
 * Fraction of the entitlement that this host may use: the smallest one computed within the last exchange interval, so
 * that a decrease takes effect at once and an increase only after the other hosts have had the time to decrease theirs.
 * A host that started less than an interval ago uses at most the equal share among the `hosts` of the fleet, which the
 * other hosts leave to it.
 */
export function getShare(state: ShareState, hosts: number, startedAtMs: number, now: number): number {
    const smallest = Math.min(...state.computed.map(entry => entry.fraction), 1);
    return now - startedAtMs < EXCHANGE_INTERVAL_MS ? Math.min(1 / Math.max(1, hosts), smallest) : smallest;
}
