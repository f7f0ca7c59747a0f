/** Roles that hosts hold by rendezvous hashing. Hosts whose views differ for a while may both hold one. */
import type { EndpointId, FailureDomainId, HostId } from "@currantrill/protocol";
import type { Membership } from "../model/member.js";
import { listDomains, listLiveHosts } from "./listMembers.js";
import { listNeighbours } from "./listNeighbours.js";
import { rankByRendezvous } from "./rankByRendezvous.js";

export const RELAYS_PER_DOMAIN = 2;
export const WATCHERS_PER_ENDPOINT = 2;
export const POLLERS_PER_DOMAIN = 2;

/** Time after which other hosts of a silent domain are tried as its relays. */
const RELAY_ROTATION_MS = 30_000;

/**
 * Lists the hosts of a domain that connect it to other domains. For a domain that has gone silent as a whole, members
 * are tried in turns, so that the connection comes back whichever of them is reachable first.
 */
export function listRelays(membership: Membership, domain: FailureDomainId, now: number): HostId[] {
    const live = listLiveHosts(membership, now, domain);
    if (live.length > 0) {
        return rankByRendezvous(`relay/${domain}`, live).slice(0, RELAYS_PER_DOMAIN);
    }
    const candidates = [...membership.members.values()]
        .filter(member => member.failureDomain === domain && !member.leaving)
        .map(member => member.host);
    const turn = Math.floor(now / RELAY_ROTATION_MS);
    return rankByRendezvous(`relay/${domain}/${turn}`, candidates).slice(0, RELAYS_PER_DOMAIN);
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
