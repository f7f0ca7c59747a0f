import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointLoad } from "../model/endpointLoad.js";

/** Own endpoints that answer, relative to the mean of the other failure domains, below which these are used too. */
const MIN_OWN_SHARE = 0.5;

/**
 * Selects the endpoints among which a prompt is placed in a large fleet: those of the own failure domain, whose load is
 * known at once. Hosts that place by old news of other domains disturb the work there.
 */
export function selectCandidates<T extends EndpointLoad>(
    loads: readonly T[],
    ownDomain: FailureDomainId,
): readonly T[] {
    const usable = loads.filter(load => !load.isSilent);
    const own = usable.filter(load => load.failureDomain === ownDomain);
    const otherDomains = new Set(loads.map(load => load.failureDomain).filter(domain => domain !== ownDomain)).size;
    const isEnough = own.length > 0
        && own.length * otherDomains >= MIN_OWN_SHARE * (usable.length - own.length);
    return isEnough ? own : loads;
}
