/** Messages between the hosts of a cluster run: heartbeats, configurations, gossip and snapshots. */
import { listSnapshot, measureConfirmationAge, takeBatch } from "@currantrill/core";
import { type HostId, toHostId, type VersionedFact } from "@currantrill/protocol";
import type { HostProcess } from "../simulation/hostProcess.js";
import {
    adoptConfigurationOnNode,
    advanceNodeStart,
    type ClusterNode,
    handleHeartbeat,
    openConnection,
    receiveFacts,
} from "./clusterNode.js";
import { FIRST_DOMAIN_HOST_COUNT } from "./clusterSchedule.js";
import { type ClusterWorld, findNode } from "./clusterWorld.js";

/** A connection is closed if the peer has not answered for this long. */
export const PEER_TIMEOUT_MS = 3_000;
const RETRANSMIT_INTERVAL_MS = 400;
const MAX_SLOW_PEER_DELAY_MS = 9_000;

/** Sends a message. `receive` runs on the peer's process, unless none runs there or a fault blocks the network path. */
function sendToPeer(world: ClusterWorld, from: HostProcess, to: number, receive: (peer: ClusterNode) => void): void {
    const { faults, random, timeline } = world;
    const sender = world.nodes.get(from);
    if (sender !== undefined) {
        sender.messageCount += 1;
    }
    const crossesDomains = (from.index < FIRST_DOMAIN_HOST_COUNT) !== (to < FIRST_DOMAIN_HOST_COUNT);
    const isBlocked = (): boolean =>
        faults.isActive("cutFromPeers", from.index)
        || faults.isActive("cutFromPeers", to)
        || crossesDomains && faults.isActive("cutDomains");
    if (isBlocked()) {
        return;
    }
    const delayMs = random.sample(1, 5) + (faults.isActive("peersSlow") ? random.sample(0, MAX_SLOW_PEER_DELAY_MS) : 0);
    timeline.schedule(delayMs, () => {
        const peer = findNode(world, to);
        if (peer !== undefined && !isBlocked()) {
            peer.process.deliver(() => receive(peer));
        }
    });
}

/** Sends a heartbeat, which a ready peer answers with its revision and the age of that revision's last confirmation. */
export function sendHeartbeat(world: ClusterWorld, node: ClusterNode, to: number): void {
    const sentAt = node.process.readClocks();
    sendToPeer(world, node.process, to, peer => {
        if (!peer.ready) {
            return;
        }
        const ageMs = measureConfirmationAge(peer.freshness, peer.process.readClocks());
        const confirmationAgeMs = ageMs === Infinity ? undefined : ageMs;
        const answer = { peer: peer.id, revision: peer.configuration.revision, confirmationAgeMs };
        sendToPeer(world, peer.process, node.process.index, receiver => {
            if (receiver !== node) {
                return;
            }
            if (!node.lastHeardAtMs.has(peer.id)) {
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
        sendToPeer(
            world,
            peer.process,
            node.process.index,
            receiver => adoptConfigurationOnNode(world, receiver, configuration),
        );
    });
}

function sendSnapshot(world: ClusterWorld, node: ClusterNode, to: number): void {
    const facts = listSnapshot(node.gossip, node.process.readClocks().monotonicMs, () => true);
    sendFacts(world, node, to, facts);
}

/** Sends facts and retransmits them until they are delivered or the connection is closed, as TCP does. */
function sendFacts(world: ClusterWorld, node: ClusterNode, to: number, facts: readonly VersionedFact[]): void {
    const peerId = toHostId(`host-${to}`);
    const connection = node.connectionNumbers.get(peerId);
    let delivered = false;
    const send = (): void => {
        if (delivered || node.connectionNumbers.get(peerId) !== connection || !node.lastHeardAtMs.has(peerId)) {
            return;
        }
        sendToPeer(world, node.process, to, peer => {
            delivered = true;
            receiveFacts(world, peer, node.id, facts);
        });
        node.process.setTimer(RETRANSMIT_INTERVAL_MS, send);
    };
    send();
}

/** Sends the facts that are queued for a peer. */
export function sendBatch(world: ClusterWorld, node: ClusterNode, to: number): void {
    const batch = takeBatch(node.gossip, toHostId(`host-${to}`), node.process.readClocks().monotonicMs);
    node.gossip = batch.gossipState;
    if (batch.facts.length > 0) {
        sendFacts(world, node, to, batch.facts);
    }
}

/** Requests a snapshot from a seed. The starting host treats the seed as unreachable if none arrives in time. */
export function requestSnapshot(world: ClusterWorld, node: ClusterNode, to: number): void {
    const peerId: HostId = toHostId(`host-${to}`);
    let pending = true;
    const finish = (run: () => void): void => {
        if (pending && !node.ready) {
            pending = false;
            run();
        }
    };
    sendToPeer(world, node.process, to, peer => {
        const { configuration } = peer;
        const facts = listSnapshot(peer.gossip, peer.process.readClocks().monotonicMs, () => true);
        sendToPeer(world, peer.process, node.process.index, receiver =>
            finish(() => {
                receiveFacts(world, receiver, peer.id, facts);
                advanceNodeStart(world, receiver, { type: "snapshotReceived", peer: peerId, configuration });
            }));
    });
    node.process.setTimer(
        PEER_TIMEOUT_MS,
        () => finish(() => advanceNodeStart(world, node, { type: "snapshotFailed", peer: peerId })),
    );
}
