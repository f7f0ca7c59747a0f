import type { ServiceId } from "@currantrill/protocol";
import type { ForwardingContext } from "../../model/forwardingContext.js";

/** Shortest suggested wait. Several callers wait for the next permit, so one that comes back at once finds it taken. */
const MIN_WAIT_MS = 150;
const MS_PER_SECOND = 1_000;

/**
 * Returns when a request that no endpoint of the service takes now can come back, in seconds; `undefined` if that is not
 * because of what the endpoints state.
 */
export function getRetrySeconds(
    { permits }: ForwardingContext,
    service: ServiceId,
    permitsLeft: number,
): number | undefined {
    const waitMs = permits.getWaitMs(service, permitsLeft);
    return waitMs === undefined ? undefined : Math.max(MIN_WAIT_MS, waitMs) / MS_PER_SECOND;
}
