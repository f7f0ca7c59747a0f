import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointLoad } from "../model/endpointLoad.js";

/**
 * Number of responsive endpoints in the local failure domain, relative to the mean of the other failure domains, below
 * which the endpoints of all failure domains are used.
 */
const MIN_LOCAL_FRACTION = 0.5;

/**
 * Selects the endpoints among which a prompt is placed in a large fleet: those of the local failure domain, whose load
 * is known without delay. Placement by outdated load data of other failure domains would disturb the work there.
 */
export function selectCandidates<T extends EndpointLoad>(
    loads: readonly T[],
    localDomain: FailureDomainId,
): readonly T[] {
    const usable = loads.filter(load => !load.isUnresponsive);
    const local = usable.filter(load => load.failureDomain === localDomain);
    const otherDomains = new Set(loads.map(load => load.failureDomain).filter(domain => domain !== localDomain)).size;
    const isEnough = local.length > 0
        && local.length * otherDomains >= MIN_LOCAL_FRACTION * (usable.length - local.length);
    return isEnough ? local : loads;
}
