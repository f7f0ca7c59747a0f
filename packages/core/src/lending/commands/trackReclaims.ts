import type { EndpointId } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";
import type { LendingDecision, ReclaimTimes } from "../model/lending.js";

/**
 * Records since when each endpoint has been unusable. An endpoint that becomes usable again is removed. A missing
 * confirmation from the platform does not count: the owner has requested nothing, so work in flight is not interrupted.
 */
export function trackReclaims(
    times: ReclaimTimes,
    decisions: ReadonlyMap<EndpointId, LendingDecision>,
    now: Clocks,
): ReclaimTimes {
    const next: Record<EndpointId, Clocks> = {};
    for (const [endpoint, decision] of decisions) {
        if (!decision.usable && decision.reason !== "silent") {
            next[endpoint] = times[endpoint] ?? now;
        }
    }
    return next;
}
