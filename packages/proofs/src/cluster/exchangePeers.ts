/** Messages between the hosts of a cluster run: heartbeats, configurations, facts and snapshots. */
import { listSnapshot, measureSilence, takeBatch } from "@currantrill/core";
import { type HostId, toHostId, type VersionedFact } from "@currantrill/protocol";
import type { HostProcess } from "../simulation/hostProcess.js";
import {
    adoptOnNode,
    advanceNodeStart,
    type ClusterNode,
    handleHeartbeat,
    openConnection,
    receiveFacts,
} from "./clusterNode.js";
import { FIRST_DOMAIN_HOSTS } from "./clusterSchedule.js";
import { type ClusterWorld, getNode } from "./clusterWorld.js";

/** A connection without an answer for this long is closed. */
export const PEER_SILENCE_MS = 3_000;
const RETRANSMIT_MS = 400;
const SLOW_PEER_MAX_MS = 9_000;

/** Sends a message; `receive` runs on the peer's process if one runs there and the two can reach each other. */
function sendToPeer(world: ClusterWorld, from: HostProcess, to: number, receive: (peer: ClusterNode) => void): void {
    const { faults, random, timeline } = world;
    const sender = world.nodes.get(from);
    if (sender !== undefined) {
        sender.messages += 1;
    }
    const crosses = (from.index < FIRST_DOMAIN_HOSTS) !== (to < FIRST_DOMAIN_HOSTS);
    const isCut = (): boolean =>
        faults.isActive("cutFromPeers", from.index)
        || faults.isActive("cutFromPeers", to)
        || crosses && faults.isActive("cutDomains");
    if (isCut()) {
        return;
    }
    const delayMs = random.sample(1, 5) + (faults.isActive("peersSlow") ? random.sample(0, SLOW_PEER_MAX_MS) : 0);
    timeline.schedule(delayMs, () => {
        const peer = getNode(world, to);
        if (peer !== undefined && !isCut()) {
            peer.process.deliver(() => receive(peer));
        }
    });
}

/** Asks a peer for its revision and the age of its last confirmation. */
export function sendHeartbeat(world: ClusterWorld, node: ClusterNode, to: number): void {
    const sentAt = node.process.readClocks();
    sendToPeer(world, node.process, to, peer => {
        if (!peer.ready) {
            return;
        }
        const silenceMs = measureSilence(peer.freshness, peer.process.readClocks());
        const confirmationAgeMs = silenceMs === Infinity ? undefined : silenceMs;
        const answer = { peer: peer.id, revision: peer.configuration.revision, confirmationAgeMs };
        sendToPeer(world, peer.process, node.process.index, back => {
            if (back !== node) {
                return;
            }
            if (!node.heardAtMs.has(peer.id)) {
                openConnection(node, peer.id);
                sendSnapshot(world, node, to);
            }
            if (handleHeartbeat(world, node, sentAt, answer)) {
                requestConfiguration(world, node, to);
            }
        });
    });
}

function requestConfiguration(world: ClusterWorld, node: ClusterNode, to: number): void {
    sendToPeer(world, node.process, to, peer => {
        const { configuration } = peer;
        sendToPeer(world, peer.process, node.process.index, back => adoptOnNode(world, back, configuration));
    });
}

function sendSnapshot(world: ClusterWorld, node: ClusterNode, to: number): void {
    const facts = listSnapshot(node.flood, node.process.readClocks().monotonicMs, () => true);
    sendFacts(world, node, to, facts);
}

/** A connection repeats what was not acknowledged until it is closed, as TCP does. */
function sendFacts(world: ClusterWorld, node: ClusterNode, to: number, facts: readonly VersionedFact[]): void {
    const peerId = toHostId(`host-${to}`);
    const connection = node.connections.get(peerId);
    let delivered = false;
    const send = (): void => {
        if (delivered || node.connections.get(peerId) !== connection || !node.heardAtMs.has(peerId)) {
            return;
        }
        sendToPeer(world, node.process, to, peer => {
            delivered = true;
            receiveFacts(world, peer, node.id, facts);
        });
        node.process.setTimer(RETRANSMIT_MS, send);
    };
    send();
}

/** Sends the facts that wait for a peer. */
export function sendBatch(world: ClusterWorld, node: ClusterNode, to: number): void {
    const batch = takeBatch(node.flood, toHostId(`host-${to}`), node.process.readClocks().monotonicMs);
    node.flood = batch.flood;
    if (batch.facts.length > 0) {
        sendFacts(world, node, to, batch.facts);
    }
}

/** A starting host counts a seed as unreachable if no snapshot arrives in time. */
export function requestSnapshot(world: ClusterWorld, node: ClusterNode, to: number): void {
    const peerId: HostId = toHostId(`host-${to}`);
    let waiting = true;
    const settle = (run: () => void): void => {
        if (waiting && !node.ready) {
            waiting = false;
            run();
        }
    };
    sendToPeer(world, node.process, to, peer => {
        const { configuration } = peer;
        const facts = listSnapshot(peer.flood, peer.process.readClocks().monotonicMs, () => true);
        sendToPeer(world, peer.process, node.process.index, back =>
            settle(() => {
                receiveFacts(world, back, peer.id, facts);
                advanceNodeStart(world, back, { type: "snapshotReceived", peer: peerId, configuration });
            }));
    });
    node.process.setTimer(
        PEER_SILENCE_MS,
        () => settle(() => advanceNodeStart(world, node, { type: "snapshotFailed", peer: peerId })),
    );
}
