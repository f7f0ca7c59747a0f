import { EXCHANGE_INTERVAL_MS, type ShareState } from "../model/shares.js";

/**
 * The own fraction in force: the smallest one computed within the last exchange interval, so that it shrinks at once and
 * grows only when the others have had the time to shrink. A host that has not been there for an interval takes at most
 * the equal share of the `hosts` in the fleet, which the others leave to it.
 */
export function getShare(state: ShareState, hosts: number, startedAtMs: number, now: number): number {
    const smallest = Math.min(...state.computed.map(entry => entry.fraction), 1);
    return now - startedAtMs < EXCHANGE_INTERVAL_MS ? Math.min(1 / Math.max(1, hosts), smallest) : smallest;
}
