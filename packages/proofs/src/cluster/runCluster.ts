/** Simulates configuration changes on hosts that poll the platform and exchange heartbeats and gossip. */
import {
    type Configuration,
    formatRevisionKey,
    HEAD_ROW_KEY,
    type TicketResult,
    type TicketRow,
} from "@currantrill/core";
import { toAttemptId, toHostId } from "@currantrill/protocol";
import { createHistoryRecorder, type History } from "../model/history.js";
import type { SafeguardOverrides } from "../model/proof.js";
import { createFakeStore } from "../simulation/fakeStore.js";
import { createFaultPlan } from "../simulation/faults.js";
import { createHost, type HostProcess } from "../simulation/hostProcess.js";
import { createRandom } from "../simulation/random.js";
import { recordFaults } from "../simulation/recordFaults.js";
import { runRepeatedly } from "../simulation/runRepeatedly.js";
import { createTimeline } from "../simulation/timeline.js";
import { buildTicket, endpoints, firstConfiguration, RECLAIMABLE_ENDPOINT } from "./clusterConfiguration.js";
import {
    adoptConfigurationOnNode,
    advanceNodeStart,
    closeUnresponsiveConnections,
    type ClusterNode,
    createNode,
    handlePlatformRead,
    receiveReport,
    stopEndpoint,
    useEndpoint,
} from "./clusterNode.js";
import { CLUSTER_HOST_COUNT, type ClusterSchedule, type ScheduledTicket } from "./clusterSchedule.js";
import { type ClusterWorld, findNode } from "./clusterWorld.js";
import { PEER_TIMEOUT_MS, requestSnapshot, sendBatch, sendHeartbeat } from "./peerMessages.js";
import { readHead, runTicket } from "./runTicket.js";

const POLL_INTERVAL_MS = 1_000;
const BATCH_INTERVAL_MS = 500;
const USE_INTERVAL_MS = 500;
const TICKET_TIMEOUT_MS = 5_000;
/** Time after the last change and fault within which all hosts have to converge. */
const SETTLE_MS = 25_000;

/** Runs one schedule and returns its history. */
export function runCluster(schedule: ClusterSchedule, overrides: SafeguardOverrides): History {
    const timeline = createTimeline();
    const recorder = createHistoryRecorder(timeline.getNowMs);
    const faults = createFaultPlan(schedule.faults, timeline.getNowMs);
    const random = createRandom(schedule.seed);
    const store = createFakeStore({ timeline, faults, random });
    const world: ClusterWorld = {
        schedule,
        timeline,
        recorder,
        overrides,
        faults,
        random,
        store,
        hosts: [],
        nodes: new Map(),
        nextOperation: 1,
    };
    putFirstConfiguration(world);
    recordFaults(schedule.faults, timeline, recorder);
    for (let index = 0; index < CLUSTER_HOST_COUNT; index += 1) {
        const context = { timeline, faults, recorder, scheduledFaults: schedule.faults };
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

function putFirstConfiguration({ store, recorder }: ClusterWorld): void {
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
            const node = findNode(world, host);
            node?.process.deliver(() => stopEndpoint(world, node, RECLAIMABLE_ENDPOINT));
        });
    }
    for (const { atMs, durationMs } of schedule.withdrawals) {
        timeline.schedule(atMs, () => recorder.record({ type: "withdrawn", endpoint: RECLAIMABLE_ENDPOINT }));
        timeline.schedule(
            atMs + durationMs,
            () => recorder.record({ type: "returned", endpoint: RECLAIMABLE_ENDPOINT }),
        );
    }
}

/** Sends a ticket to one host, or the identical ticket to two hosts at the same time, as two operators might. */
function sendTicket(world: ClusterWorld, scheduled: ScheduledTicket): void {
    const node = findNode(world, scheduled.host);
    const ticket = node && buildTicket(node.configuration, scheduled);
    const receivers = scheduled.twice ? [node, findNode(world, scheduled.host + 1)] : [node];
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
        claimNotApplied: world.overrides.claimNotApplied,
        adopt: configuration => adoptConfigurationOnNode(world, node, configuration),
        handleResult: result => answer(result.outcome, result.outcome === "applied" ? String(result.revision) : ""),
    });
}

function startNode(world: ClusterWorld, process: HostProcess): void {
    const peers = Array.from({ length: CLUSTER_HOST_COUNT }, (_, index) => index).filter(index =>
        index !== process.index
    );
    const node = createNode(process, peers.map(index => toHostId(`host-${index}`)));
    world.nodes.set(process, node);
    runRepeatedly(process, POLL_INTERVAL_MS, () => {
        pollPlatform(world, node);
        closeUnresponsiveConnections(node, PEER_TIMEOUT_MS);
        peers.forEach(peer => node.ready ? sendHeartbeat(world, node, peer) : requestSnapshot(world, node, peer));
        world.recorder.record({ type: "messages", host: process.name, count: node.messageCount });
        node.messageCount = 0;
    });
    runRepeatedly(process, BATCH_INTERVAL_MS, () => {
        peers.forEach(peer => sendBatch(world, node, peer));
        pollReport(world, node);
    });
    runRepeatedly(process, USE_INTERVAL_MS, () => endpoints.forEach(endpoint => useEndpoint(world, node, endpoint)));
}

function pollPlatform(world: ClusterWorld, node: ClusterNode): void {
    const startedAt = node.process.readClocks();
    readHead(node.process, world.store, head => {
        if (head === "failed") {
            advanceNodeStart(world, node, { type: "platformFailed" });
            return;
        }
        handlePlatformRead(world, node, startedAt, head.configuration);
        advanceNodeStart(world, node, { type: "platformRead", configuration: head.configuration });
    });
}

/** Reads the endpoint's report from the endpoint itself. A host that cannot reach the endpoint cannot use it either. */
function pollReport(world: ClusterWorld, node: ClusterNode): void {
    if (world.faults.isActive("cutFromEndpoint", node.process.index)) {
        return;
    }
    const nowMs = world.timeline.getNowMs();
    const withdrawn = world.schedule.withdrawals.some(({ atMs, durationMs }) =>
        atMs <= nowMs && nowMs < atMs + durationMs
    );
    world.timeline.schedule(
        5,
        () => node.process.deliver(() => receiveReport(world, node, RECLAIMABLE_ENDPOINT, withdrawn)),
    );
}
