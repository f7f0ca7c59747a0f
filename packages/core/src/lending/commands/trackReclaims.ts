import type { EndpointId } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";
import type { LendingDecision, LendingReason, ReclaimTimes } from "../model/lending.js";

/** Reasons that leave work in flight alone: the owner has requested nothing. */
const REASONS_WITHOUT_GRACE_PERIOD: ReadonlySet<LendingReason> = new Set(["evacuated", "silent"]);

/**
 * Records since when each endpoint has been unusable because of its owner or a local stop. An endpoint that becomes
 * usable again is removed. Work in flight on an evacuated domain, or while the configuration is not confirmed, is not
 * interrupted.
 */
export function trackReclaims(
    times: ReclaimTimes,
    decisions: ReadonlyMap<EndpointId, LendingDecision>,
    now: Clocks,
): ReclaimTimes {
    const next: Record<EndpointId, Clocks> = {};
    for (const [endpoint, decision] of decisions) {
        if (!decision.usable && !REASONS_WITHOUT_GRACE_PERIOD.has(decision.reason)) {
            next[endpoint] = times[endpoint] ?? now;
        }
    }
    return next;
}
