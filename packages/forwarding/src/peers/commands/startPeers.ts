/** Exchanges states and digests with peers. */
import type { FailureDomainId } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";
import type { NoticeSource } from "../../notices/model/endpointNotices.js";
import type { NoticeReport } from "../../notices/queries/noticeCodec.js";
import type { AssignmentChange, AssignmentRegistry } from "../../placement/model/assignmentRegistry.js";
import type { SharedEvidence } from "../../quarantine/model/sharedEvidence.js";
import { type BatchTimer, createBatchTimer } from "../model/batchTimer.js";
import type { FleetDigest } from "../model/fleetDigest.js";
import { createFleetView, type FleetView } from "../model/fleetView.js";
import type { PeerState } from "../model/peerState.js";
import { createPeerTable, type PeerTable } from "../model/peerTable.js";
import { type Announcer, createAnnouncer } from "./createAnnouncer.js";
import { handlePeerMessages, type Subscription } from "./handlePeerMessages.js";
import type { PeerSocket } from "./openPeerSocket.js";

/** Interval of heartbeats and digests: the longest time between two messages to a peer that expects them. */
const HEARTBEAT_MS = 500;
/** Interval at which a host contacts the seeds until a peer answers. */
const CONNECT_INTERVAL_MS = 100;
/**
 * Assignments that are added at the same time are announced together. The delay is short, because hosts that learn of
 * them late place long prompts on the same endpoint.
 */
const URGENT_BATCH_DELAY_MS = 1;
/** Batch delay of other changes for each peer to notify, which bounds the number of messages. */
const BATCH_DELAY_MS_PER_PEER = 2;
const MAX_BATCH_DELAY_MS = 100;
/** Batch delay of messages that announce a change of a table. */
const TABLE_BATCH_DELAY_MS = 20;
/**
 * Batch delay of messages about crashes. The requests on a crashed endpoint fail within a few milliseconds on all hosts,
 * whose reports then answer each other.
 */
const EVIDENCE_BATCH_DELAY_MS = 10;
/** Number of peers, chosen at random, to which each heartbeat lists the live hosts in a small fleet. */
const HOST_LISTS_PER_HEARTBEAT = 2;
/** Time in which the end of work is announced to another failure domain, by several messages. */
const ENDED_WORK_MS = 2_000;
/** A peer whose last state is older receives no digests. */
const SUBSCRIPTION_MS = 2_500;

export interface PeersOptions {
    readonly socket: PeerSocket;
    /** IP address and port of this host, on which it receives messages. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Processor capacity in cores. */
    readonly capacity: number;
    /** Addresses of hosts to contact first; the port is that of `address`. */
    readonly seeds: readonly string[];
    /** Provides the local assignments, and receives those of peers. */
    readonly registry: AssignmentRegistry;
    readonly log: Logger;
    /** Returns the version of the newest change that this host knows, by table. */
    readonly getLastChangeVersions: () => Readonly<Record<string, number>>;
    /** Returns the endpoint observations of this host. */
    readonly getObservations: () => readonly EndpointObservation[];
    /** Returns the observations of this host merged with those of peers, of the local domain or of all. */
    readonly getMergedObservations: (scope: "domain" | "fleet") => readonly EndpointObservation[];
    /** Returns what this host knows of parts of prompts that crash endpoints. */
    readonly getEvidence: () => SharedEvidence;
    /** Returns what endpoints state about themselves. */
    readonly getNotices: () => readonly NoticeReport[];
    /** Returns whether the last call to the store failed. */
    readonly isStoreUnavailable: () => boolean;
    /** Returns the id up to which all placement queries of this host are settled. */
    readonly getSettledQuery: () => number;
    /** Returns the failure domain of an endpoint, `undefined` if the endpoint is no longer known. */
    readonly findDomain: (endpointId: string) => FailureDomainId | undefined;
    /** Called for each received state that is newer than the last message of its host. */
    readonly onState: (state: PeerState) => void;
    /** Called for each received digest that is newer than the last message of its host. */
    readonly onDigest: (digest: FleetDigest) => void;
}

export interface Peers {
    /** Schedules a message with the current state: at once for an urgent change, otherwise after a batch delay. */
    readonly announce: (change: AssignmentChange) => void;
    /** Schedules a message to all hosts that expect one, after a change of a table. */
    readonly announceTables: () => void;
    /** Schedules a message about parts of prompts that crash endpoints, to all hosts that expect one. */
    readonly announceEvidence: () => void;
    /** Schedules a message about a notice that this host has received from an endpoint, or relays as a coordinator. */
    readonly announceNotice: (source: NoticeSource) => void;
    /** Adds hosts to which heartbeats are sent. */
    readonly addHosts: (addresses: readonly string[]) => void;
    /** View of the fleet, kept up to date by received messages. */
    readonly fleet: FleetView;
    /** Announces to all peers that expect messages that this host is shutting down. */
    readonly announceLeaving: () => void;
    /** Stops the exchange. */
    readonly close: () => void;
}

export function startPeers(options: PeersOptions): Peers {
    const { address, failureDomain, capacity, registry } = options;
    const port = address.split(":")[1] ?? "0";
    const seeds = options.seeds.map(seed => `${seed.split(":")[0] ?? ""}:${port}`);
    let isLeaving = false;
    const getIsLeaving = (): boolean => isLeaving;
    const table = createPeerTable(address);
    const isSeed = seeds.length === 0 || seeds.includes(address);
    const fleet = createFleetView({ table, address, failureDomain, capacity, isSeed, getIsLeaving });
    const announcer = createAnnouncer({ peers: options, table, fleet, getIsLeaving });
    const { sendState, sendDigests } = announcer;
    const subscriptions = new Map<string, Subscription>();
    const listWorkDomains = createWorkDomainList(options);
    handlePeerMessages({ peers: options, table, fleet, announcer, subscriptions });

    const listSubscribers = (): readonly string[] => selectSubscribers(subscriptions, table, options, fleet);
    const listImmediateTargets = (): readonly string[] => fleet.listImmediateTargets(listWorkDomains());
    const sendHeartbeats = (): void => {
        table.evictExpired(performance.now()).forEach(peer => {
            registry.removePeer(peer);
            subscriptions.delete(peer);
        });
        const targets = fleet.listHeartbeatTargets();
        fleet.recordSent(targets);
        if (fleet.isSmallFleet()) {
            const listReceivers = selectRandom(targets, HOST_LISTS_PER_HEARTBEAT);
            sendState(fleet.listAlive(), listReceivers);
            sendState([], targets.filter(peer => !listReceivers.includes(peer)));
            return;
        }
        sendState([], mergeTargets(targets, listImmediateTargets()));
        const remoteTargets = fleet.isCoordinator()
            ? [...fleet.listRemoteTargets(), ...selectUnreachable(table, fleet)]
            : [];
        sendDigests(mergeTargets(listSubscribers(), remoteTargets));
    };
    const announcements = createAnnouncements({ fleet, announcer, listSubscribers, listImmediateTargets });
    table.add(seeds, performance.now());
    const timer = setInterval(sendHeartbeats, HEARTBEAT_MS);
    const connectTimer = setInterval(() => {
        if (!fleet.isConnecting()) {
            clearInterval(connectTimer);
            return;
        }
        sendState([], fleet.listHeartbeatTargets());
    }, CONNECT_INTERVAL_MS);
    // Sent once the caller has started what the state is read from.
    setImmediate(() => sendState([], seeds.filter(seed => seed !== address)));
    return {
        announce: change => {
            const delayMs = Math.min(MAX_BATCH_DELAY_MS, BATCH_DELAY_MS_PER_PEER * listImmediateTargets().length);
            announcements.assignments.schedule(
                change === "urgent" ? Math.min(URGENT_BATCH_DELAY_MS, delayMs) : delayMs,
            );
        },
        announceTables: () => announcements.tables.schedule(TABLE_BATCH_DELAY_MS),
        announceEvidence: () => announcements.evidence.schedule(EVIDENCE_BATCH_DELAY_MS),
        announceNotice: source => {
            if (source !== "peer" || !fleet.isSmallFleet() && fleet.isCoordinator()) {
                announcements.evidence.schedule(EVIDENCE_BATCH_DELAY_MS);
            }
        },
        addHosts: addresses => table.add(addresses, performance.now()),
        fleet,
        announceLeaving: () => {
            isLeaving = true;
            sendState([], mergeTargets(fleet.listHeartbeatTargets(), listImmediateTargets()));
            if (!fleet.isSmallFleet()) {
                sendDigests(mergeTargets(listSubscribers(), fleet.listRemoteTargets()));
            }
        },
        close: () => {
            clearInterval(timer);
            clearInterval(connectTimer);
            Object.values(announcements).forEach(announcement => announcement.cancel());
        },
    };
}

/**
 * Selects the peers that expect digests. States of a fleet that was small until now count only for coordinators and their
 * domain: otherwise all hosts send digests to all others for seconds when a fleet grows.
 */
function selectSubscribers(
    subscriptions: ReadonlyMap<string, Subscription>,
    table: PeerTable,
    { failureDomain }: PeersOptions,
    fleet: FleetView,
): readonly string[] {
    const nowMs = performance.now();
    const isCoordinator = fleet.isCoordinator();
    return [...subscriptions]
        .filter(([peer, { atMs, isFromSmallFleet }]) =>
            nowMs - atMs < SUBSCRIPTION_MS
            && (!isFromSmallFleet || isCoordinator && table.get(peer)?.failureDomain === failureDomain)
        )
        .map(([peer]) => peer);
}

interface AnnouncementOptions {
    readonly fleet: FleetView;
    readonly announcer: Announcer;
    readonly listSubscribers: () => readonly string[];
    readonly listImmediateTargets: () => readonly string[];
}

/** Creates the timers of the messages that changes of assignments, tables and evidence cause. */
function createAnnouncements(
    { fleet, announcer, listSubscribers, listImmediateTargets }: AnnouncementOptions,
): Readonly<Record<"assignments" | "tables" | "evidence", BatchTimer>> {
    return {
        assignments: createBatchTimer(() => announcer.sendState([], listImmediateTargets(), { hasNotices: false })),
        tables: createBatchTimer(() => {
            if (fleet.isSmallFleet()) {
                announcer.sendState([], fleet.listAlive());
                return;
            }
            announcer.sendDigests(listSubscribers());
        }),
        evidence: createBatchTimer(() => {
            announcer.sendState([], listImmediateTargets());
            if (!fleet.isSmallFleet() && fleet.isCoordinator()) {
                announcer.sendDigests(mergeTargets(listSubscribers(), fleet.listRemoteTargets()));
            }
        }),
    };
}

/**
 * Creates a list of the failure domains in which this host has assignments, or had some a short time ago that their
 * coordinators may still count.
 */
function createWorkDomainList({ registry, findDomain }: PeersOptions): () => ReadonlySet<FailureDomainId> {
    const workedAtMs = new Map<FailureDomainId, number>();
    return () => {
        const nowMs = performance.now();
        for (const { endpointId } of registry.listLocal()) {
            const domain = findDomain(endpointId);
            if (domain !== undefined) {
                workedAtMs.set(domain, nowMs);
            }
        }
        return new Set([...workedAtMs].filter(([, atMs]) => nowMs - atMs < ENDED_WORK_MS).map(([domain]) => domain));
    };
}

/** Selects a known peer that is not alive, so that hosts which lost each other meet again. */
function selectUnreachable(table: PeerTable, fleet: FleetView): readonly string[] {
    const alive = new Set(fleet.listAlive());
    return selectRandom(table.listAll().map(peer => peer.address).filter(peer => !alive.has(peer)), 1);
}

const mergeTargets = (...lists: readonly (readonly string[])[]): readonly string[] => [...new Set(lists.flat())];

/** Selects consecutive addresses from a random offset. */
function selectRandom(addresses: readonly string[], count: number): readonly string[] {
    const offset = Math.floor(Math.random() * addresses.length);
    return [...addresses.slice(offset), ...addresses.slice(0, offset)].slice(0, count);
}
