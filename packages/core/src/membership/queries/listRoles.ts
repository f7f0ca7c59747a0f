/** Roles that hosts hold by rendezvous hashing. Hosts whose views differ for a while may both hold one. */
import type { EndpointId, FailureDomainId, HostId } from "@currantrill/protocol";
import type { Membership } from "../model/member.js";
import { listDomains, listLiveHosts } from "./listMembers.js";
import { listNeighbours } from "./listNeighbours.js";
import { rankByRendezvous } from "./rankByRendezvous.js";

export const RELAYS_PER_DOMAIN = 2;
export const WATCHERS_PER_ENDPOINT = 2;
export const POLLERS_PER_DOMAIN = 2;

/** Lists the hosts of a domain that connect it to other domains. */
export function listRelays(membership: Membership, domain: FailureDomainId, now: number): HostId[] {
    return rankByRendezvous(`relay/${domain}`, listLiveHosts(membership, now, domain)).slice(0, RELAYS_PER_DOMAIN);
}

/** Lists the hosts of the own domain that poll the platform for the configuration. */
export function listPollers(membership: Membership, now: number): HostId[] {
    const domain = membership.failureDomain;
    return rankByRendezvous(`poller/${domain}`, listLiveHosts(membership, now, domain)).slice(0, POLLERS_PER_DOMAIN);
}

/** Lists the hosts that poll an endpoint's report, the one that publishes first. */
export function listWatchers(endpoint: EndpointId, hostsOfDomain: readonly HostId[]): HostId[] {
    return rankByRendezvous(`endpoint/${endpoint}`, hostsOfDomain).slice(0, WATCHERS_PER_ENDPOINT);
}

/** Lists the hosts to be connected to: neighbours on the ring, and for a relay the relays of the other domains. */
export function listConnections(membership: Membership, now: number): HostId[] {
    const { self, failureDomain } = membership;
    const neighbours = listNeighbours(listLiveHosts(membership, now, failureDomain), self);
    if (!listRelays(membership, failureDomain, now).includes(self)) {
        return neighbours;
    }
    const remote = listDomains(membership)
        .filter(domain => domain !== failureDomain)
        .flatMap(domain => listRelays(membership, domain, now));
    return [...neighbours, ...remote];
}
