/** A host's view of the fleet, from the peers whose messages it receives. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { PeerTable } from "./peerTable.js";

/**
 * Largest number of hosts in a small fleet, where each host announces changes to all peers at once. In a large fleet
 * it announces them at once only to the hosts of its failure domain and of the domains in which it has assignments.
 * This bounds the number of messages and the bytes between domains; all other hosts receive its heartbeats.
 */
const MAX_SMALL_FLEET_HOSTS = 16;
/** Number of hosts in each failure domain of a large fleet that follow the store; the rest copy changes from them. */
const STORE_FOLLOWERS = 2;

export interface FleetView {
    /** Peers from which a message was received recently. */
    readonly listAlive: () => readonly string[];
    /** Whether all hosts announce their assignments to each other at once, also between failure domains. */
    readonly isSmallFleet: () => boolean;
    /**
     * Live peers to notify at once: those in the local failure domain, and in domains where this host has assignments.
     */
    readonly listImmediateTargets: (workDomains: ReadonlySet<FailureDomainId>) => readonly string[];
    /** Peers to send a heartbeat to, whether live or not. */
    readonly listHeartbeatTargets: (isForAllDomains: boolean) => readonly string[];
    /** Whether this host has to follow the store itself instead of copying from peers in its failure domain. */
    readonly shouldFollowStore: () => boolean;
    /** Live hosts of the local failure domain, including this one, in an order that is the same on all of them. */
    readonly listLocalDomain: () => readonly string[];
}

/** Creates the view of the host with the given address and failure domain. */
export function createFleetView(table: PeerTable, address: string, failureDomain: FailureDomainId): FleetView {
    const listAlive = (): readonly string[] => table.listAlive(performance.now());
    const listAliveIn = (domain: FailureDomainId): readonly string[] => table.listAliveIn(domain, performance.now());
    const isSmallFleet = (): boolean => listAlive().length < MAX_SMALL_FLEET_HOSTS;
    return {
        listAlive,
        isSmallFleet,
        listImmediateTargets: workDomains =>
            isSmallFleet() ? listAlive() : [...new Set([failureDomain, ...workDomains])].flatMap(listAliveIn),
        listHeartbeatTargets: isForAllDomains =>
            table.listAll().filter(peer => isForAllDomains || isSmallFleet() || table.canBeIn(failureDomain, peer)),
        shouldFollowStore: () => {
            const preceding = table.listWithStoreAccess(failureDomain, performance.now()).filter(peer =>
                peer < address
            );
            return isSmallFleet() || preceding.length < STORE_FOLLOWERS;
        },
        listLocalDomain: () => [address, ...listAliveIn(failureDomain)].sort(),
    };
}
