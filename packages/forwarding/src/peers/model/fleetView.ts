/** A host's view of the fleet: which hosts are alive, which ones coordinate, and to which ones it sends messages. */
import type { FailureDomainId } from "@currantrill/protocol";
import { rankCoordinators } from "../queries/rankCoordinators.js";
import type { FleetDigest } from "./fleetDigest.js";
import { createHostCounts } from "./hostCounts.js";
import type { Peer, PeerTable } from "./peerTable.js";
import { createSilenceTracker } from "./silenceTracker.js";

/**
 * Largest number of hosts in a small fleet, where each host announces its state to all others and places prompts by
 * itself. The failure domains of such a fleet have too few endpoints to place long prompts on those of one domain. In a
 * larger fleet that would take each host a time that grows with their number (45,000 messages a second were counted at
 * 195 hosts), so two coordinators of each failure domain know the state of its hosts.
 */
const MAX_SMALL_FLEET_HOSTS = 32;
/** Coordinators of a failure domain: one places prompts and serves copies of tables, the other takes over. */
const COORDINATORS_PER_DOMAIN = 2;
/** Number of hosts in each failure domain that follow the store; the rest copy changes from peers. */
const STORE_FOLLOWERS = 2;
/**
 * From this number of hosts on, in three or more failure domains, one host of each follows the store: if it fails, its
 * domain copies changes from the others until the next host of the domain follows.
 */
const MIN_HOSTS_FOR_ONE_FOLLOWER = 17;
const MIN_DOMAINS_FOR_ONE_FOLLOWER = 3;
/** Most peers of a failure domain without a live host to which digests are sent. */
const MAX_LOST_TARGETS = 4;
/** Time after the start in which a host waits for a peer before it takes itself for a part of a small fleet. */
const CONNECT_MS = 1_500;
/**
 * Time after the first message of a peer in which a host does not decide yet whether the fleet is small: hosts that
 * start together learn of each other meanwhile.
 */
const CONTACT_MS = 400;

export interface FleetView {
    /** Live hosts, including this one. */
    readonly countHosts: () => number;
    /** Number of live hosts by failure domain, including this one. */
    readonly countByDomain: () => Readonly<Record<string, number>>;
    /** Whether all hosts announce their state to each other. */
    readonly isSmallFleet: () => boolean;
    /** Whether the host has just started, and does not know its peers yet. */
    readonly isConnecting: () => boolean;
    /** Coordinators of a failure domain in the order in which hosts use them; this host can be one of them. */
    readonly listCoordinators: (domain: FailureDomainId) => readonly string[];
    /** Coordinators of all other failure domains. */
    readonly listRemoteCoordinators: () => readonly string[];
    /**
     * Peers in other failure domains to which a coordinator sends digests. In a domain without a live host these are the
     * ones that were alive before, so that the domain is found again after a partition.
     */
    readonly listRemoteTargets: () => readonly string[];
    /** Whether this host coordinates its failure domain. */
    readonly isCoordinator: () => boolean;
    /** Peers to which this host sends its state at each heartbeat. */
    readonly listHeartbeatTargets: () => readonly string[];
    /** Peers to notify at once of changed assignments in failure domains. */
    readonly listImmediateTargets: (workDomains: ReadonlySet<FailureDomainId>) => readonly string[];
    /** Records that the state is sent to peers, which are then expected to answer. */
    readonly recordSent: (targets: readonly string[]) => void;
    /** Records the host counts of a digest. */
    readonly recordDigest: (digest: FleetDigest) => void;
    /** Whether so many domains follow the store that each of their hosts can do so with fewer calls. */
    readonly hasManyFollowers: () => boolean;
    /** Whether this host has to follow the store itself instead of copying from peers in its failure domain. */
    readonly shouldFollowStore: () => boolean;
    /** Live hosts of the local failure domain, including this one, in an order that is the same on all of them. */
    readonly listLocalDomain: () => readonly string[];
    /** Live peers of the local failure domain. */
    readonly listLocalPeers: () => readonly Peer[];
    /** Live peers of this host. */
    readonly listAlive: () => readonly string[];
    /** Live peers that are not shutting down. */
    readonly listServing: () => readonly string[];
}

export interface FleetViewOptions {
    readonly table: PeerTable;
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly capacity: number;
    /** Whether other hosts contact this one first; it then does not wait for a peer at its start. */
    readonly isSeed: boolean;
    readonly getIsLeaving: () => boolean;
}

/** Creates the view of a host. */
export function createFleetView(options: FleetViewOptions): FleetView {
    const { table, address, failureDomain, capacity } = options;
    const startedAtMs = performance.now();
    let firstContactAtMs: number | undefined;
    const silence = createSilenceTracker();
    const hostCounts = createHostCounts();

    const listAlivePeers = (): readonly Peer[] => table.listAlive(performance.now());
    const listDomainPeers = (domain: FailureDomainId): readonly Peer[] =>
        listAlivePeers().filter(peer => peer.failureDomain === domain && !peer.isLeaving);
    const isSilent = (peer: Peer): boolean => silence.isSilent(peer, performance.now());
    const rankDomain = (domain: FailureDomainId, peers: readonly Peer[]): readonly string[] =>
        rankCoordinators([
            ...peers,
            ...(domain === failureDomain && !options.getIsLeaving() ? [{ address, capacity }] : []),
        ]);
    const listCoordinators = (domain: FailureDomainId): readonly string[] =>
        rankDomain(domain, listDomainPeers(domain).filter(peer => !isSilent(peer))).slice(0, COORDINATORS_PER_DOMAIN);
    const rankFollowers = (): readonly string[] =>
        rankDomain(
            failureDomain,
            listDomainPeers(failureDomain).filter(peer => !peer.isStoreUnavailable && !isSilent(peer)),
        );
    const countByDomain = (): Readonly<Record<string, number>> =>
        hostCounts.merge(failureDomain, listAlivePeers(), performance.now());
    const countHosts = (): number => Object.values(countByDomain()).reduce((sum, count) => sum + count, 0);
    const isSmallFleet = (): boolean => countHosts() <= MAX_SMALL_FLEET_HOSTS;
    const hasManyFollowers = (): boolean =>
        countHosts() >= MIN_HOSTS_FOR_ONE_FOLLOWER
        && Object.keys(countByDomain()).length >= MIN_DOMAINS_FOR_ONE_FOLLOWER;
    const isConnecting = (): boolean => {
        const nowMs = performance.now();
        if (listAlivePeers().length > 0) {
            firstContactAtMs ??= nowMs;
        }
        return !options.isSeed
            && (firstContactAtMs === undefined
                ? nowMs - startedAtMs < CONNECT_MS
                : nowMs - firstContactAtMs < CONTACT_MS && isSmallFleet());
    };
    const listRemoteDomains = (): readonly FailureDomainId[] =>
        [...new Set(table.listAll().flatMap(peer => peer.failureDomain ?? []))].filter(domain =>
            domain !== failureDomain
        );
    const excludeSelf = (hosts: readonly string[]): readonly string[] =>
        [...new Set(hosts)].filter(host => host !== address);
    return {
        countHosts,
        countByDomain,
        isSmallFleet,
        isConnecting,
        listCoordinators,
        listRemoteCoordinators: () => listRemoteDomains().flatMap(listCoordinators),
        listRemoteTargets: () =>
            listRemoteDomains().flatMap(domain => {
                const coordinators = listCoordinators(domain);
                return coordinators.length > 0 ? coordinators : listLostPeers(table, domain);
            }),
        isCoordinator: () => listCoordinators(failureDomain).includes(address),
        listHeartbeatTargets: () => {
            if (isSmallFleet()) {
                return table.listAll().map(peer => peer.address);
            }
            const silent = listDomainPeers(failureDomain).filter(isSilent).map(peer => peer.address);
            return excludeSelf([...listCoordinators(failureDomain), ...silent]);
        },
        listImmediateTargets: workDomains =>
            isSmallFleet()
                ? listAlivePeers().map(peer => peer.address)
                : excludeSelf([...new Set([failureDomain, ...workDomains])].flatMap(listCoordinators)),
        recordSent: silence.recordSent,
        recordDigest: digest => hostCounts.record(digest.hostCounts, performance.now()),
        hasManyFollowers,
        shouldFollowStore: () =>
            !isConnecting() && rankFollowers().indexOf(address) < (hasManyFollowers() ? 1 : STORE_FOLLOWERS),
        listLocalDomain: () => [address, ...listDomainPeers(failureDomain).map(peer => peer.address)].sort(),
        listLocalPeers: () => listDomainPeers(failureDomain),
        listAlive: () => listAlivePeers().map(peer => peer.address),
        listServing: () => listAlivePeers().filter(peer => !peer.isLeaving).map(peer => peer.address),
    };
}

/** Lists some hosts of a failure domain that were alive before. */
const listLostPeers = (table: PeerTable, domain: FailureDomainId): readonly string[] =>
    table.listAll().filter(peer => peer.failureDomain === domain).slice(0, MAX_LOST_TARGETS).map(peer => peer.address);
