import { type Clocks, measureElapsed } from "../../model/clocks.js";
import type { EndpointObject } from "../../model/configuration.js";
import type { InFlightDecision, ReclaimTimes } from "../model/lending.js";

export interface InFlightWork {
    /** Expected time until it ends by itself, in milliseconds. */
    readonly expectedMs: number;
    /** Whether it can continue on another endpoint, by KV export and import or by resuming. */
    readonly movable: boolean;
}

/**
 * Decides about work on an endpoint that takes no new work. Work that is expected to end within the grace period
 * continues, other work is moved if possible, and what is left at the end of the period is cancelled.
 */
export function decideInFlight(
    endpoint: EndpointObject,
    times: ReclaimTimes,
    work: InFlightWork,
    now: Clocks,
): InFlightDecision {
    const since = times[endpoint.name];
    if (since === undefined) {
        return "continue";
    }
    const elapsedMs = measureElapsed(since, now);
    if (elapsedMs >= endpoint.graceMs) {
        return "cancel";
    }
    const endsInTime = elapsedMs + work.expectedMs <= endpoint.graceMs;
    return endsInTime || !work.movable ? "continue" : "move";
}
