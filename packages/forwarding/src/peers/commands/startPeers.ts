/** Tells peers this host's state over UDP, and hears theirs. */
import type Logger from "bunyan";
import { createSocket } from "node:dgram";
import type { Ledger, LedgerChange } from "../../placement/model/ledger.js";
import { createBatchTimer } from "../model/batchTimer.js";
import type { PeerState } from "../model/peerState.js";
import { createPeerTable } from "../model/peerTable.js";
import { decodePeerState, encodePeerState } from "../queries/peerStateCodec.js";

/** Longest time between two messages. */
const HEARTBEAT_MS = 500;
/**
 * Bookings that were added at the same time are sent together. In a fleet of 79 hosts a delay of 90 ms lets hosts place
 * long prompts on top of each other.
 */
const URGENT_BATCH_MS = 1;
/** Other changes are sent together after this time for each peer, which bounds the messages of a large fleet. */
const BATCH_MS_PER_PEER = 1;
const MAX_BATCH_MS = 100;
/** Heartbeats between messages that carry the list of hosts. */
const HEARTBEATS_PER_LIST = 4;
/** A datagram that is larger may be lost as a whole more often than its parts. */
const MAX_DATAGRAM_BYTES = 60_000;

export interface PeersOptions {
    /** IP address and port to listen on, which peers also use. */
    readonly address: string;
    readonly seeds: readonly string[];
    readonly ledger: Ledger;
    readonly log: Logger;
    readonly getChangedAt: () => Readonly<Record<string, number>>;
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
    readonly setLeaving: () => void;
    readonly close: () => void;
}

/** Starts to exchange states. */
export function startPeers(options: PeersOptions): Peers {
    const { address, ledger, log } = options;
    const [ownIp = "", portText = "0"] = address.split(":");
    const port = Number(portText);
    const socket = createSocket("udp4");
    const table = createPeerTable(address);
    const incarnation = Date.now();
    let sequence = 0;
    let heartbeats = 0;
    let isLeaving = false;

    const send = (hosts: readonly string[], targets: readonly string[]): void => {
        const nowMs = performance.now();
        sequence += 1;
        const state = { address, incarnation, sequence, isLeaving, changedAt: options.getChangedAt(), hosts };
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
    const listHeard = (): readonly string[] => table.listHeard(performance.now());
    const beat = (): void => {
        table.forgetOld(performance.now()).forEach(ledger.dropPeer);
        heartbeats += 1;
        send(heartbeats % HEARTBEATS_PER_LIST === 1 ? listHeard() : [], table.listAll());
    };
    const batch = createBatchTimer(() => send([], listHeard()));
    const announce = (change: LedgerChange): void => {
        const batchMs = Math.min(MAX_BATCH_MS, BATCH_MS_PER_PEER * table.listAll().length);
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
        countHosts: () => listHeard().length + 1,
        setLeaving: () => {
            isLeaving = true;
            send([], listHeard());
        },
        close: () => {
            clearInterval(timer);
            batch.cancel();
            socket.close();
        },
    };
}

function logHeard(log: Logger, state: PeerState, step: "heard" | "known"): void {
    if (step === "heard") {
        log.info({ peer: state.address, incarnation: state.incarnation }, "peers: heard");
    }
}
