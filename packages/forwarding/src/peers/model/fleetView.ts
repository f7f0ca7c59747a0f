/** What a host concludes from the peers that it hears. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { PeerTable } from "./peerTable.js";

/**
 * Up to this number of hosts each tells all others at once. In a larger fleet only the hosts of its own failure domain
 * hear at once, which bounds messages and the bytes between domains; the others hear its heartbeats.
 */
const MAX_HOSTS_TOLD_AT_ONCE = 16;
/** Hosts of a failure domain of a large fleet that follow the store; the others copy changes from them. */
const STORE_FOLLOWERS = 2;

export interface FleetView {
    readonly listHeard: () => readonly string[];
    /** Whether all hosts tell each other their work at once, also over the borders of failure domains. */
    readonly isSmallFleet: () => boolean;
    /** Hosts that are told at once: those of the own failure domain, and of others in which this host has work. */
    readonly listNear: (workDomains: ReadonlySet<FailureDomainId>) => readonly string[];
    /** Hosts that a heartbeat is sent to, heard or not. */
    readonly listTargets: (isForAll: boolean) => readonly string[];
    /** Whether this host is to follow the store itself, instead of copying from peers of its failure domain. */
    readonly shouldFollowStore: () => boolean;
    /** Hosts of the own failure domain that are heard, with this one, in an order that is the same on all of them. */
    readonly listOwnDomain: () => readonly string[];
}

/** Creates the view of the host with an address. */
export function createFleetView(table: PeerTable, address: string, failureDomain: FailureDomainId): FleetView {
    const listHeard = (): readonly string[] => table.listHeard(performance.now());
    const listHeardIn = (domain: FailureDomainId): readonly string[] => table.listHeardIn(domain, performance.now());
    const isSmallFleet = (): boolean => listHeard().length < MAX_HOSTS_TOLD_AT_ONCE;
    return {
        listHeard,
        isSmallFleet,
        listNear: workDomains =>
            isSmallFleet() ? listHeard() : [...new Set([failureDomain, ...workDomains])].flatMap(listHeardIn),
        listTargets: isForAll =>
            table.listAll().filter(peer => isForAll || isSmallFleet() || table.mayBeIn(failureDomain, peer)),
        shouldFollowStore: () => {
            const before = table.listWithStore(failureDomain, performance.now()).filter(peer => peer < address);
            return isSmallFleet() || before.length < STORE_FOLLOWERS;
        },
        listOwnDomain: () => [address, ...listHeardIn(failureDomain)].sort(),
    };
}
