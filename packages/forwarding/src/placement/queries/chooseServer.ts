/** Chooses an endpoint of a service without an engine. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointLoad } from "../model/endpointLoad.js";

const SILENT_COST = 10;
const SILENT_DOMAIN_COST = 2;
const COST_PER_FAILURE = 1;
const OTHER_DOMAIN_COST = 0.15;

/** Chooses the least loaded endpoint, or `undefined` if there is none. `random` from 0 to 1 decides among equals. */
export function chooseServer(
    loads: readonly EndpointLoad[],
    ownDomain: FailureDomainId,
    random: number,
): EndpointLoad | undefined {
    const offset = Math.floor(random * loads.length);
    const rotated = [...loads.slice(offset), ...loads.slice(0, offset)];
    return rotated.reduce<EndpointLoad | undefined>(
        (best, load) => best === undefined || scoreServer(load, ownDomain) < scoreServer(best, ownDomain) ? load : best,
        undefined,
    );
}

const scoreServer = (load: EndpointLoad, ownDomain: FailureDomainId): number =>
    load.bookings.length / Math.max(1, load.slots)
    + COST_PER_FAILURE * load.failures
    + (load.isSilent ? SILENT_COST : 0)
    + SILENT_DOMAIN_COST * load.domainSilence
    + (load.failureDomain === ownDomain ? 0 : OTHER_DOMAIN_COST);
