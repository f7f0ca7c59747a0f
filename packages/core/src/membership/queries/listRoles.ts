/** Roles assigned to hosts by rendezvous hashing. Hosts whose membership differs for a while may both have a role. */
import type { EndpointId, FailureDomainId, HostId } from "@currantrill/protocol";
import type { Membership } from "../model/member.js";
import { listDomains, listLiveHosts } from "./listMembers.js";
import { listNeighbours } from "./listNeighbours.js";
import { rankByRendezvous } from "./rankByRendezvous.js";

/** Number of gateway hosts of a domain, which connect it to other domains. */
export const GATEWAYS_PER_DOMAIN = 2;
/** Number of hosts of its domain that poll the load report of an endpoint. */
export const MONITORS_PER_ENDPOINT = 2;
/** Number of hosts of a domain that poll the platform for the configuration. */
export const POLLERS_PER_DOMAIN = 2;

/** Interval at which other hosts of a domain without live members are tried as its gateway hosts. */
const GATEWAY_ROTATION_MS = 30_000;

/**
 * Lists the gateway hosts of a domain, which connect it to other domains. If no member of the domain is live, its
 * members are tried in rotation, so that the connection is restored whichever of them is reachable first. The hash
 * keys keep the prefix `relay/`, since all hosts must rank by the same keys.
 */
export function listGateways(membership: Membership, domain: FailureDomainId, now: number): HostId[] {
    const live = listLiveHosts(membership, now, domain);
    if (live.length > 0) {
        return rankByRendezvous(`relay/${domain}`, live).slice(0, GATEWAYS_PER_DOMAIN);
    }
    const candidates = [...membership.members.values()]
        .filter(member => member.failureDomain === domain && !member.leaving)
        .map(member => member.host);
    const rotation = Math.floor(now / GATEWAY_ROTATION_MS);
    return rankByRendezvous(`relay/${domain}/${rotation}`, candidates).slice(0, GATEWAYS_PER_DOMAIN);
}

/** Lists the hosts of the local domain that poll the platform for the configuration. */
export function listPollers(membership: Membership, now: number): HostId[] {
    const domain = membership.failureDomain;
    return rankByRendezvous(`poller/${domain}`, listLiveHosts(membership, now, domain)).slice(0, POLLERS_PER_DOMAIN);
}

/** Lists the monitors of an endpoint, which poll its load report; the first of them publishes its load digest. */
export function listMonitors(endpoint: EndpointId, hostsOfDomain: readonly HostId[]): HostId[] {
    return rankByRendezvous(`endpoint/${endpoint}`, hostsOfDomain).slice(0, MONITORS_PER_ENDPOINT);
}

/** Lists the hosts to connect to: neighbours on the ring, and for a gateway host those of the remote domains. */
export function listConnections(membership: Membership, now: number): HostId[] {
    const { self, failureDomain } = membership;
    const neighbours = listNeighbours(listLiveHosts(membership, now, failureDomain), self);
    if (!listGateways(membership, failureDomain, now).includes(self)) {
        return neighbours;
    }
    const remote = listDomains(membership)
        .filter(domain => domain !== failureDomain)
        .flatMap(domain => listGateways(membership, domain, now));
    return [...neighbours, ...remote];
}
