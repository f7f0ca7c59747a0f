/** Chooses an endpoint of a service that has no model engines. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointLoad } from "../model/endpointLoad.js";

/** Costs relative to that of an endpoint with all slots in use, which is 1. */
const UNRESPONSIVE_COST = 10;
const UNRESPONSIVE_DOMAIN_COST = 2;
const COST_PER_FAILURE = 1;
const OTHER_DOMAIN_COST = 0.15;

/**
 * Chooses the least loaded endpoint. Returns `undefined` if there is none. `random`, a number from 0 to 1, decides
 * among equal ones.
 */
export function chooseLeastLoaded(
    loads: readonly EndpointLoad[],
    localDomain: FailureDomainId,
    random: number,
): EndpointLoad | undefined {
    const offset = Math.floor(random * loads.length);
    const rotated = [...loads.slice(offset), ...loads.slice(0, offset)];
    return rotated.reduce<EndpointLoad | undefined>(
        (best, load) => best === undefined || scoreLoad(load, localDomain) < scoreLoad(best, localDomain) ? load : best,
        undefined,
    );
}

const scoreLoad = (load: EndpointLoad, localDomain: FailureDomainId): number =>
    load.assignments.length / Math.max(1, load.slots)
    + COST_PER_FAILURE * load.failures
    + (load.isUnresponsive ? UNRESPONSIVE_COST : 0)
    + UNRESPONSIVE_DOMAIN_COST * load.domainUnresponsiveFraction
    + (load.failureDomain === localDomain ? 0 : OTHER_DOMAIN_COST);
