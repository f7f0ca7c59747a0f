/** Tells peers this host's state over UDP, and hears theirs. */
import type { FailureDomainId } from "@currantrill/protocol";
import type Logger from "bunyan";
import { createSocket, type Socket } from "node:dgram";
import type { EndpointSighting } from "../../endpoints/model/endpointSighting.js";
import type { Ledger, LedgerChange } from "../../placement/model/ledger.js";
import { createBatchTimer } from "../model/batchTimer.js";
import { createFleetView, type FleetView } from "../model/fleetView.js";
import type { PeerState } from "../model/peerState.js";
import { createPeerTable } from "../model/peerTable.js";
import { decodePeerState, encodePeerState } from "../queries/peerStateCodec.js";

/** Longest time between two messages. */
const HEARTBEAT_MS = 500;
/** Bookings that were added at the same time are sent together. Hosts that hear late place long prompts on top of each other. */
const URGENT_BATCH_MS = 1;
/** Other changes are sent together after this time for each peer, which bounds the messages of a large fleet. */
const BATCH_MS_PER_PEER = 1;
const MAX_BATCH_MS = 100;
/** Heartbeats of which one is sent to the other failure domains of a large fleet too. */
const HEARTBEATS_PER_FAR_ONE = 2;
/** Peers, chosen at random, that each heartbeat tells which hosts there are. */
const LISTS_PER_HEARTBEAT = 2;
/** A datagram that is larger may be lost as a whole more often than its parts. */
const MAX_DATAGRAM_BYTES = 60_000;

export interface PeersOptions {
    /** IP address and port to listen on, which peers also use. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly seeds: readonly string[];
    readonly ledger: Ledger;
    readonly log: Logger;
    readonly getChangedAt: () => Readonly<Record<string, number>>;
    readonly getSightings: () => readonly EndpointSighting[];
    readonly hasLostStore: () => boolean;
    /** Failure domain of an endpoint, `undefined` if it is not known any more. */
    readonly findDomain: (endpointId: string) => FailureDomainId | undefined;
    /** Called for each state that is newer than the last one of its host. */
    readonly onState: (state: PeerState) => void;
    readonly onDatagram: (direction: "sent" | "received") => void;
}

export interface Peers {
    /** Sends the state: at once where work was added, else soon. */
    readonly announce: (change: LedgerChange) => void;
    /** Adds hosts to send to. */
    readonly addHosts: (addresses: readonly string[]) => void;
    /** Number of hosts heard lately, with this one. */
    readonly countHosts: () => number;
    readonly fleet: FleetView;
    readonly setLeaving: () => void;
    readonly close: () => void;
}

/** Starts to exchange states. */
export function startPeers(options: PeersOptions): Peers {
    const { address, failureDomain, ledger, log } = options;
    const [ownIp = ""] = address.split(":");
    const port = getPort(address);
    const socket = createSocket("udp4");
    const table = createPeerTable(address);
    const fleet = createFleetView(table, address, failureDomain);
    let heartbeats = 0;
    let isLeaving = false;

    const send = createSender(socket, options, () => isLeaving);
    const beat = (): void => {
        table.forgetOld(performance.now()).forEach(ledger.dropPeer);
        heartbeats += 1;
        const targets = fleet.listTargets(heartbeats % HEARTBEATS_PER_FAR_ONE === 1);
        const listed = selectRandom(targets, LISTS_PER_HEARTBEAT);
        send(fleet.listHeard(), listed);
        send([], targets.filter(peer => !listed.includes(peer)));
    };
    const listNear = (): readonly string[] => {
        const domains = ledger.listOwn().map(booking => options.findDomain(booking.endpointId));
        return fleet.listNear(new Set(domains.filter(domain => domain !== undefined)));
    };
    const batch = createBatchTimer(() => send([], listNear()));
    const announce = (change: LedgerChange): void => {
        const batchMs = Math.min(MAX_BATCH_MS, BATCH_MS_PER_PEER * listNear().length);
        batch.schedule(change === "urgent" ? Math.min(URGENT_BATCH_MS, batchMs) : batchMs);
    };
    const receive = (data: Buffer): void => {
        const nowMs = performance.now();
        options.onDatagram("received");
        const state = decodePeerState(data, nowMs);
        if (state === undefined) {
            log.warn({ bytes: data.length }, "peers: message not understood");
            return;
        }
        const step = table.accept(state, nowMs);
        if (step === "stale") {
            return;
        }
        logHeard(log, state, step);
        table.add(state.hosts, nowMs);
        if (state.isLeaving) {
            ledger.dropPeer(state.address);
        }
        ledger.setPeer(state.address, state.bookings, nowMs);
        options.onState(state);
    };
    socket.on("message", receive);
    socket.on("error", error => log.warn({ err: error }, "peers: socket error"));
    socket.bind(port, ownIp);
    table.add(options.seeds.map(seed => `${seed.split(":")[0] ?? ""}:${port}`), performance.now());
    const timer = setInterval(beat, HEARTBEAT_MS);
    return {
        announce,
        addHosts: addresses => table.add(addresses, performance.now()),
        countHosts: () => fleet.listHeard().length + 1,
        fleet,
        setLeaving: () => {
            isLeaving = true;
            send([], fleet.listHeard());
        },
        close: () => {
            clearInterval(timer);
            batch.cancel();
            socket.close();
        },
    };
}

type SendState = (hosts: readonly string[], targets: readonly string[]) => void;

/** Creates a function that sends this host's state, with a list of hosts, to peers. */
function createSender(socket: Socket, options: PeersOptions, getIsLeaving: () => boolean): SendState {
    const { address, failureDomain, ledger, log } = options;
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
            hasLostStore: options.hasLostStore(),
            changedAt: options.getChangedAt(),
            hosts,
            sightings: options.getSightings(),
        };
        const whole = encodePeerState({ ...state, bookings: ledger.listOwn() }, nowMs);
        const data = whole.length <= MAX_DATAGRAM_BYTES ? whole : encodePeerState({ ...state, bookings: [] }, nowMs);
        for (const target of targets) {
            const [ip = ""] = target.split(":");
            socket.send(data, port, ip, error => {
                if (error !== null) {
                    log.debug({ err: error, peer: target }, "peers: message not sent");
                }
            });
            options.onDatagram("sent");
        }
    };
}

const getPort = (address: string): number => Number(address.split(":")[1] ?? "0");

function selectRandom(addresses: readonly string[], count: number): readonly string[] {
    const offset = Math.floor(Math.random() * addresses.length);
    return [...addresses.slice(offset), ...addresses.slice(0, offset)].slice(0, count);
}

function logHeard(log: Logger, state: PeerState, step: "heard" | "known"): void {
    if (step === "heard") {
        log.info({ peer: state.address, incarnation: state.incarnation }, "peers: heard");
    }
}
