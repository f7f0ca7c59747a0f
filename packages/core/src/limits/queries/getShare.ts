import { EXCHANGE_INTERVAL_MS, SHARE_FLOOR, type ShareState } from "../model/shares.js";

/**
 * The own fraction in force: the smallest one computed within the last exchange interval, so that it shrinks at once and
 * grows only when the others have had the time to shrink. A host that has not been there for an interval takes its floor
 * of the `hosts` in the fleet.
 */
export function getShare(state: ShareState, hosts: number, startedAtMs: number, now: number): number {
    const floor = SHARE_FLOOR / Math.max(1, hosts);
    const smallest = Math.min(...state.computed.map(entry => entry.fraction), 1);
    return now - startedAtMs < EXCHANGE_INTERVAL_MS && hosts > 1 ? Math.min(floor, smallest) : smallest;
}
