/** Exchanges state messages with peers over UDP. */
import type { FailureDomainId } from "@currantrill/protocol";
import type Logger from "bunyan";
import { createSocket, type Socket } from "node:dgram";
import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";
import type { AssignmentChange, AssignmentRegistry } from "../../placement/model/assignmentRegistry.js";
import { createBatchTimer } from "../model/batchTimer.js";
import { createFleetView, type FleetView } from "../model/fleetView.js";
import type { PeerState } from "../model/peerState.js";
import { createPeerTable } from "../model/peerTable.js";
import { decodePeerState, encodePeerState } from "../queries/peerStateCodec.js";

/** Heartbeat interval: the longest time between two messages to a peer in the local failure domain. */
const HEARTBEAT_MS = 500;
/**
 * Assignments that are added at the same time are announced together. The delay is short, because hosts that learn of
 * them late place long prompts on the same endpoint.
 */
const URGENT_BATCH_DELAY_MS = 1;
/** Batch delay of other changes for each peer to notify, which bounds the number of messages in a large fleet. */
const BATCH_DELAY_MS_PER_PEER = 1;
const MAX_BATCH_DELAY_MS = 100;
/** In a large fleet, one of this many heartbeats is also sent to the other failure domains. */
const HEARTBEATS_PER_REMOTE_ONE = 2;
/** Number of peers, chosen at random, to which each heartbeat lists the live hosts. */
const HOST_LISTS_PER_HEARTBEAT = 2;
/**
 * Size limit, since a larger datagram is more likely to be lost. A larger state is sent without assignments.
 */
const MAX_DATAGRAM_BYTES = 60_000;

export interface PeersOptions {
    /** IP address and port to listen on, which peers also use. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    /** Addresses of hosts to contact first; the port is that of `address`. */
    readonly seeds: readonly string[];
    /** Provides the local assignments, and receives those of peers. */
    readonly registry: AssignmentRegistry;
    readonly log: Logger;
    /** Returns the version of the newest change that this host knows, by table. */
    readonly getLastChangeVersions: () => Readonly<Record<string, number>>;
    /** Returns the endpoint observations to announce. */
    readonly getObservations: () => readonly EndpointObservation[];
    /** Returns whether the last call to the store failed. */
    readonly isStoreUnavailable: () => boolean;
    /** Returns the failure domain of an endpoint, `undefined` if the endpoint is no longer known. */
    readonly findDomain: (endpointId: string) => FailureDomainId | undefined;
    /** Called for each received state that is newer than the last one of its host. */
    readonly onState: (state: PeerState) => void;
    /** Called for each datagram, for metrics. */
    readonly onDatagram: (direction: "sent" | "received") => void;
}

export interface Peers {
    /** Schedules a message with the current state: at once for an urgent change, otherwise after a batch delay. */
    readonly announce: (change: AssignmentChange) => void;
    /** Adds hosts to which heartbeats are sent. */
    readonly addHosts: (addresses: readonly string[]) => void;
    /** Returns the number of live hosts, including this one. */
    readonly countHosts: () => number;
    /** View of the fleet, kept up to date by received messages. */
    readonly fleet: FleetView;
    /** Announces to all live peers that this host is shutting down. */
    readonly announceLeaving: () => void;
    /** Stops the exchange and closes the socket. */
    readonly close: () => void;
}

export function startPeers(options: PeersOptions): Peers {
    const { address, failureDomain, registry, log } = options;
    const [localIp = ""] = address.split(":");
    const port = getPort(address);
    const socket = createSocket("udp4");
    const table = createPeerTable(address);
    const fleet = createFleetView(table, address, failureDomain);
    let heartbeatCount = 0;
    let isLeaving = false;

    const send = createSender(socket, options, () => isLeaving);
    const sendHeartbeats = (): void => {
        table.evictExpired(performance.now()).forEach(registry.removePeer);
        heartbeatCount += 1;
        const targets = fleet.listHeartbeatTargets(heartbeatCount % HEARTBEATS_PER_REMOTE_ONE === 1);
        const listReceivers = selectRandom(targets, HOST_LISTS_PER_HEARTBEAT);
        send(fleet.listAlive(), listReceivers);
        send([], targets.filter(peer => !listReceivers.includes(peer)));
    };
    const listImmediateTargets = (): readonly string[] => {
        const domains = registry.listLocal().map(assignment => options.findDomain(assignment.endpointId));
        return fleet.listImmediateTargets(new Set(domains.filter(domain => domain !== undefined)));
    };
    const announcement = createBatchTimer(() => send([], listImmediateTargets()));
    const announce = (change: AssignmentChange): void => {
        const batchDelayMs = Math.min(MAX_BATCH_DELAY_MS, BATCH_DELAY_MS_PER_PEER * listImmediateTargets().length);
        announcement.schedule(change === "urgent" ? Math.min(URGENT_BATCH_DELAY_MS, batchDelayMs) : batchDelayMs);
    };
    const receive = (data: Buffer): void => {
        const nowMs = performance.now();
        options.onDatagram("received");
        const state = decodePeerState(data, nowMs);
        if (state === undefined) {
            log.warn({ bytes: data.length }, "peers: received a datagram that is not a state message");
            return;
        }
        const result = table.accept(state, nowMs);
        if (result === "stale") {
            return;
        }
        logJoined(log, state, result);
        table.add(state.hosts, nowMs);
        if (state.isLeaving) {
            registry.removePeer(state.address);
        }
        registry.setPeer(state.address, state.assignments, nowMs);
        options.onState(state);
    };
    socket.on("message", receive);
    socket.on("error", error => log.warn({ err: error }, "peers: socket error"));
    socket.bind(port, localIp);
    table.add(options.seeds.map(seed => `${seed.split(":")[0] ?? ""}:${port}`), performance.now());
    const timer = setInterval(sendHeartbeats, HEARTBEAT_MS);
    return {
        announce,
        addHosts: addresses => table.add(addresses, performance.now()),
        countHosts: () => fleet.listAlive().length + 1,
        fleet,
        announceLeaving: () => {
            isLeaving = true;
            send([], fleet.listAlive());
        },
        close: () => {
            clearInterval(timer);
            announcement.cancel();
            socket.close();
        },
    };
}

/** Sends this host's state to peers, with a list of hosts. */
type SendState = (hosts: readonly string[], targets: readonly string[]) => void;

/** Creates the function that sends this host's state over the socket, and numbers the messages. */
function createSender(socket: Socket, options: PeersOptions, getIsLeaving: () => boolean): SendState {
    const { address, failureDomain, registry, log } = options;
    const port = getPort(address);
    const incarnation = Date.now();
    let sequence = 0;
    return (hosts, targets) => {
        const nowMs = performance.now();
        sequence += 1;
        const state = {
            address,
            failureDomain,
            incarnation,
            sequence,
            isLeaving: getIsLeaving(),
            isStoreUnavailable: options.isStoreUnavailable(),
            lastChangeVersions: options.getLastChangeVersions(),
            hosts,
            observations: options.getObservations(),
        };
        const complete = encodePeerState({ ...state, assignments: registry.listLocal() }, nowMs);
        const data = complete.length <= MAX_DATAGRAM_BYTES
            ? complete
            : encodePeerState({ ...state, assignments: [] }, nowMs);
        for (const target of targets) {
            const [ip = ""] = target.split(":");
            socket.send(data, port, ip, error => {
                if (error !== null) {
                    log.debug({ err: error, peer: target }, "peers: could not send a state message");
                }
            });
            options.onDatagram("sent");
        }
    };
}

const getPort = (address: string): number => Number(address.split(":")[1] ?? "0");

/** Selects consecutive addresses from a random offset. */
function selectRandom(addresses: readonly string[], count: number): readonly string[] {
    const offset = Math.floor(Math.random() * addresses.length);
    return [...addresses.slice(offset), ...addresses.slice(0, offset)].slice(0, count);
}

function logJoined(log: Logger, state: PeerState, result: "joined" | "known"): void {
    if (result === "joined") {
        log.info({ peer: state.address, incarnation: state.incarnation }, "peers: peer is alive");
    }
}
