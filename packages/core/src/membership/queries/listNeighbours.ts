import type { HostId } from "@currantrill/protocol";
import { computeHash } from "./rankByRendezvous.js";

/** Number of connections that a host keeps within its domain. */
export const NEIGHBOURS_PER_DOMAIN = 4;

/**
 * Lists the neighbours of a host on the hash ring of its domain: the next and the previous host, and those one stride
 * away. With the stride near the square root of the ring, a fact crosses 57 hosts in at most 8 hops; with the four
 * nearest hosts alone it would take 14.
 */
export function listNeighbours(hosts: readonly HostId[], self: HostId): HostId[] {
    const ring = sortByHash([...new Set([...hosts, self])]);
    if (ring.length <= NEIGHBOURS_PER_DOMAIN + 1) {
        return ring.filter(host => host !== self);
    }
    const position = ring.indexOf(self);
    const stride = Math.max(2, Math.round(Math.sqrt(ring.length)));
    const neighbours = [1, -1, stride, -stride].map(offset => ring[(position + offset + ring.length) % ring.length]);
    return [...new Set(neighbours)].filter((host): host is HostId => host !== undefined && host !== self);
}

function sortByHash(hosts: readonly HostId[]): HostId[] {
    return hosts
        .map(host => ({ host, hash: computeHash(host) }))
        .sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1))
        .map(entry => entry.host);
}
