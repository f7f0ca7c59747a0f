import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointDirectory } from "../model/endpointDirectory.js";
import { getFailures, getSlowdown } from "../model/endpointHealth.js";
import type { EndpointObservation } from "../model/endpointObservation.js";

/** Decayed failure counts below this number are not sent. */
const MIN_REPORTED_FAILURES = 0.25;
/** Slowdowns below this one are not sent. */
const MIN_SLOWDOWN = 1.1;
/** A host that finds a larger fraction unresponsive may itself be isolated, so it sends no observations at all. */
const MAX_UNRESPONSIVE_FRACTION = 0.4;

/** Lists the observations to send to peers: unresponsive, failing and slow endpoints. */
export function listEndpointObservations(
    directory: EndpointDirectory,
    isEvacuated: (domain: FailureDomainId) => boolean,
    nowMs: number,
): readonly EndpointObservation[] {
    // Endpoints of evacuated domains are not probed, so that what is known of them is outdated.
    const all = directory.listAll().filter(({ entry }) => !isEvacuated(entry.failureDomain));
    const unresponsiveCount = all.filter(endpoint => endpoint.health.isUnresponsive).length;
    if (unresponsiveCount > MAX_UNRESPONSIVE_FRACTION * all.length) {
        return [];
    }
    return all.flatMap(({ entry, health }): readonly EndpointObservation[] => {
        const failures = getFailures(health, nowMs);
        const currentSlowdown = getSlowdown(health, nowMs);
        const isSlow = currentSlowdown !== undefined && currentSlowdown >= MIN_SLOWDOWN;
        if (!health.isUnresponsive && failures < MIN_REPORTED_FAILURES && !isSlow) {
            return [];
        }
        return [{
            endpointId: entry.id,
            unresponsiveReports: health.isUnresponsive ? 1 : 0,
            failures,
            ...(isSlow ? { slowdown: currentSlowdown } : {}),
        }];
    });
}
