import { type Clocks, measureElapsed } from "@currantrill/protocol";
import type { EndpointObject } from "../../model/configuration.js";
import type { InFlightDecision, ReclaimTimes } from "../model/lending.js";

/** Work that an endpoint is running for this host. */
export interface InFlightWork {
    /** Expected time until the work completes, in milliseconds. */
    readonly expectedMs: number;
    /** Whether it can continue on another endpoint, by KV export and import or by resuming. */
    readonly movable: boolean;
}

/**
 * Decides about work in flight on an endpoint that takes no new work. Work that is expected to end within the owner's
 * grace period continues, other work is moved if possible, and work still running at the end of the period is
 * cancelled.
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
