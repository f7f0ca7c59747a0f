/** Runs a schedule of configuration changes on hosts that poll the platform, exchange heartbeats and flood facts. */
import {
    type Configuration,
    formatRevisionKey,
    HEAD_ROW_KEY,
    listSnapshot,
    measureSilence,
    takeBatch,
    type TicketResult,
    type TicketRow,
} from "@currantrill/core";
import { type HostId, toAttemptId, toHostId, type VersionedFact } from "@currantrill/protocol";
import { createHistoryRecorder, type History, type HistoryRecorder } from "../model/history.js";
import type { Switches } from "../model/proof.js";
import { createFakeStore, type FakeStore } from "../simulation/fakeStore.js";
import { createFaultPlan, type FaultPlan } from "../simulation/faults.js";
import { createHost, type HostProcess, type SimulatedHost } from "../simulation/hostProcess.js";
import { createRandom, type Random } from "../simulation/random.js";
import { createTimeline, type Timeline } from "../simulation/timeline.js";
import { buildTicket, endpoints, firstConfiguration, LENT_ENDPOINT } from "./clusterConfiguration.js";
import {
    adoptOnNode,
    advanceNodeStart,
    closeSilentConnections,
    type ClusterNode,
    createNode,
    handleHead,
    handleHeartbeat,
    openConnection,
    receiveFacts,
    receiveReport,
    stopEndpoint,
    useEndpoint,
} from "./clusterNode.js";
import { CLUSTER_HOSTS, type ClusterSchedule, FIRST_DOMAIN_HOSTS, type ScheduledTicket } from "./clusterSchedule.js";
import { recordCuts } from "./recordCuts.js";
import { readHead, runTicket } from "./runTicket.js";

const POLL_MS = 1_000;
const BATCH_MS = 500;
const USE_MS = 250;
const PEER_SILENCE_MS = 3_000;
const TICKET_TIMEOUT_MS = 5_000;
/** Quiet time after the last change and fault, in which everything has to converge. */
const SETTLE_MS = 25_000;
const RETRANSMIT_MS = 400;
const SLOW_PEER_MAX_MS = 9_000;

interface ClusterWorld {
    readonly schedule: ClusterSchedule;
    readonly timeline: Timeline;
    readonly recorder: HistoryRecorder;
    readonly switches: Switches;
    readonly faults: FaultPlan;
    readonly random: Random;
    readonly store: FakeStore;
    readonly hosts: SimulatedHost[];
    readonly nodes: Map<HostProcess, ClusterNode>;
    nextOperation: number;
}

export function runCluster(schedule: ClusterSchedule, switches: Switches): History {
    const timeline = createTimeline();
    const recorder = createHistoryRecorder(timeline.getNowMs);
    const faults = createFaultPlan(schedule.faults, timeline.getNowMs);
    const random = createRandom(schedule.seed);
    const store = createFakeStore({ timeline, faults, random });
    const world: ClusterWorld = {
        schedule,
        timeline,
        recorder,
        switches,
        faults,
        random,
        store,
        hosts: [],
        nodes: new Map(),
        nextOperation: 1,
    };
    storeFirstConfiguration(world);
    recordCuts(schedule.faults, timeline, recorder);
    for (let index = 0; index < CLUSTER_HOSTS; index += 1) {
        const context = { timeline, faults, recorder, schedule: schedule.faults };
        world.hosts.push(createHost(context, index, process => startNode(world, process)));
    }
    scheduleChanges(world);
    timeline.runUntil(getLastChangeMs(schedule) + SETTLE_MS);
    recorder.record({ type: "finished" });
    return recorder.events;
}

function getLastChangeMs({ tickets, stops, withdrawals, faults }: ClusterSchedule): number {
    return Math.max(
        ...tickets.map(ticket => ticket.atMs),
        ...stops.map(stop => stop.atMs),
        ...withdrawals.map(({ atMs, durationMs }) => atMs + durationMs),
        ...faults.map(({ atMs, durationMs }) => atMs + durationMs),
        0,
    );
}

function storeFirstConfiguration({ store, recorder }: ClusterWorld): void {
    const content = JSON.stringify(firstConfiguration);
    recorder.record({ type: "committed", revision: 1, ticket: 1, operation: "first", content });
    store.put(HEAD_ROW_KEY, { revision: firstConfiguration.revision });
    store.put(formatRevisionKey(firstConfiguration.revision), firstConfiguration);
    store.onCommit(({ writes }) => {
        const configuration = writes[1]?.value as Configuration;
        const row = writes[2]?.value as TicketRow;
        recorder.record({
            type: "committed",
            revision: configuration.revision,
            ticket: row.ticket.number,
            operation: row.attempt,
            content: JSON.stringify(configuration),
        });
    });
}

function scheduleChanges(world: ClusterWorld): void {
    const { schedule, timeline, recorder } = world;
    for (const ticket of schedule.tickets) {
        timeline.schedule(ticket.atMs, () => sendTicket(world, ticket));
    }
    for (const { atMs, host } of schedule.stops) {
        timeline.schedule(atMs, () => {
            const node = getNode(world, host);
            node?.process.deliver(() => stopEndpoint(world, node, LENT_ENDPOINT));
        });
    }
    for (const { atMs, durationMs } of schedule.withdrawals) {
        timeline.schedule(atMs, () => recorder.record({ type: "withdrawn", endpoint: LENT_ENDPOINT }));
        timeline.schedule(atMs + durationMs, () => recorder.record({ type: "returned", endpoint: LENT_ENDPOINT }));
    }
}

function getNode(world: ClusterWorld, host: number): ClusterNode | undefined {
    const process = world.hosts[host % CLUSTER_HOSTS]?.getProcess();
    return process && world.nodes.get(process);
}

/** Two operators who send a ticket at the same time have written the same text. */
function sendTicket(world: ClusterWorld, scheduled: ScheduledTicket): void {
    const node = getNode(world, scheduled.host);
    const ticket = node && buildTicket(node.configuration, scheduled);
    const receivers = scheduled.twice ? [node, getNode(world, scheduled.host + 1)] : [node];
    for (const receiver of receivers) {
        receiver?.process.deliver(() => {
            if (ticket !== undefined && receiver.ready) {
                applyTicket(world, receiver, ticket);
            }
        });
    }
}

function applyTicket(world: ClusterWorld, node: ClusterNode, ticket: ReturnType<typeof buildTicket>): void {
    const { recorder, timeline } = world;
    const operation = `ticket-${world.nextOperation}`;
    world.nextOperation += 1;
    recorder.record({
        type: "called",
        operation,
        host: node.process.name,
        action: "ticket",
        key: String(ticket.number),
        payload: ticket.summary,
        deadlineMs: timeline.getNowMs() + TICKET_TIMEOUT_MS,
    });
    let answered = false;
    const answer = (outcome: TicketResult["outcome"] | "broken", body: string): void => {
        if (!answered) {
            answered = true;
            recorder.record({ type: "answered", operation, outcome, body });
        }
    };
    node.process.onEnd(() => answer("broken", ""));
    runTicket({
        process: node.process,
        store: world.store,
        request: { ticket, attempt: toAttemptId(operation), timeoutMs: TICKET_TIMEOUT_MS },
        claimNotApplied: world.switches.claimNotApplied,
        adopt: configuration => adoptOnNode(world, node, configuration),
        handleResult: result => answer(result.outcome, result.outcome === "applied" ? String(result.revision) : ""),
    });
}

function startNode(world: ClusterWorld, process: HostProcess): void {
    const peers = Array.from({ length: CLUSTER_HOSTS }, (_, index) => index).filter(index => index !== process.index);
    const node = createNode(process, peers.map(index => toHostId(`host-${index}`)));
    world.nodes.set(process, node);
    repeat(process, POLL_MS, () => {
        pollPlatform(world, node);
        closeSilentConnections(node, PEER_SILENCE_MS);
        peers.forEach(peer => node.ready ? sendHeartbeat(world, node, peer) : askForSnapshot(world, node, peer));
        world.recorder.record({ type: "messages", host: process.name, count: node.messages });
        node.messages = 0;
    });
    repeat(process, BATCH_MS, () => {
        peers.forEach(peer => sendBatch(world, node, peer));
        pollReport(world, node);
    });
    repeat(process, USE_MS, () => endpoints.forEach(endpoint => useEndpoint(world, node, endpoint)));
}

function repeat(process: HostProcess, intervalMs: number, run: () => void): void {
    run();
    process.setTimer(intervalMs, () => repeat(process, intervalMs, run));
}

function pollPlatform(world: ClusterWorld, node: ClusterNode): void {
    const startedAt = node.process.readClocks();
    readHead(node.process, world.store, head => {
        if (head === "failed") {
            advanceNodeStart(world, node, { type: "platformFailed" });
            return;
        }
        handleHead(world, node, startedAt, head.configuration);
        advanceNodeStart(world, node, { type: "platformRead", configuration: head.configuration });
    });
}

/** Endpoints are polled directly; a host that cannot reach one cannot use it either. */
function pollReport(world: ClusterWorld, node: ClusterNode): void {
    if (world.faults.isActive("cutFromEndpoint", node.process.index)) {
        return;
    }
    const nowMs = world.timeline.getNowMs();
    const withdrawn = world.schedule.withdrawals.some(({ atMs, durationMs }) =>
        atMs <= nowMs && nowMs < atMs + durationMs
    );
    world.timeline.schedule(5, () => node.process.deliver(() => receiveReport(world, node, LENT_ENDPOINT, withdrawn)));
}

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

function sendHeartbeat(world: ClusterWorld, node: ClusterNode, to: number): void {
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
                askForConfiguration(world, node, to);
            }
        });
    });
}

function askForConfiguration(world: ClusterWorld, node: ClusterNode, to: number): void {
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

function sendBatch(world: ClusterWorld, node: ClusterNode, to: number): void {
    const batch = takeBatch(node.flood, toHostId(`host-${to}`), node.process.readClocks().monotonicMs);
    node.flood = batch.flood;
    if (batch.facts.length > 0) {
        sendFacts(world, node, to, batch.facts);
    }
}

/** A starting host counts a seed as unreachable if no snapshot arrives in time. */
function askForSnapshot(world: ClusterWorld, node: ClusterNode, to: number): void {
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
