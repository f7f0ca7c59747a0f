/** Applies the states and digests of peers. */
import type { FleetView } from "../model/fleetView.js";
import type { PeerTable } from "../model/peerTable.js";
import { decodeFleetDigest } from "../queries/fleetDigestCodec.js";
import { decodePeerState } from "../queries/peerStateCodec.js";
import type { Announcer } from "./createAnnouncer.js";
import type { PeersOptions } from "./startPeers.js";

export interface PeerMessagesOptions {
    readonly peers: PeersOptions;
    readonly table: PeerTable;
    readonly fleet: FleetView;
    readonly announcer: Announcer;
    /** Last state of each peer, which may then expect digests. */
    readonly subscriptions: Map<string, Subscription>;
}

/** A state that has been received from a peer. */
export interface Subscription {
    readonly atMs: number;
    /** Whether it was received in a small fleet, where each host sends its state to all others and expects no digests. */
    readonly isFromSmallFleet: boolean;
}

/** Sets the handlers of states and digests. */
export function handlePeerMessages({ peers, table, fleet, announcer, subscriptions }: PeerMessagesOptions): void {
    const { failureDomain, registry, socket, log } = peers;
    /** Answers a host at once that has just started, which waits for it before it reads the store. */
    const answerJoined = (peer: string): void => {
        log.info({ peer }, "peers: peer is alive");
        if (fleet.isSmallFleet()) {
            announcer.sendState(fleet.listAlive(), [peer]);
            return;
        }
        announcer.sendDigests([peer]);
    };
    socket.setHandler("state", (fields, nowMs) => {
        const state = decodePeerState(fields, nowMs);
        const result = table.accept(state, nowMs);
        if (result === "stale") {
            return;
        }
        table.add(state.hosts, nowMs);
        peers.onState(state);
        // A host that is leaving serves requests until its shutdown ends. It announces the end of its work last.
        registry.setPeer(state.address, state.assignments, nowMs, state.settledQuery);
        subscriptions.set(state.address, { atMs: nowMs, isFromSmallFleet: fleet.isSmallFleet() });
        if (result === "joined" && !state.isLeaving) {
            answerJoined(state.address);
        }
    });
    socket.setHandler("digest", (fields, nowMs) => {
        const digest = decodeFleetDigest(fields, nowMs);
        if (table.accept(digest, nowMs) === "stale") {
            return;
        }
        table.acceptMembers(digest.members, nowMs);
        fleet.recordDigest(digest);
        if (digest.failureDomain !== failureDomain && digest.assignments.length > 0) {
            registry.setDomain(digest.failureDomain, digest.assignments, nowMs);
        }
        peers.onDigest(digest);
    });
}
