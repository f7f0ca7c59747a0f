/** What one host process knows of configuration, stops and peers, and how it changes. Runs the core's functions. */
import {
    addStop,
    adoptConfiguration,
    advanceStart,
    allLendingSafeguards,
    beginStart,
    type Clocks,
    closeQueue,
    type Configuration,
    decideLending,
    dropStops,
    emptyFlood,
    findObject,
    type Flood,
    type Freshness,
    isStartComplete,
    type LocalStops,
    mergeFacts,
    openQueue,
    publishFact,
    recordHeartbeatAnswer,
    recordPlatformRead,
    type StartEvent,
    type StartState,
} from "@currantrill/core";
import type { EndpointId, HostId, Revision, StopFact, VersionedFact } from "@currantrill/protocol";
import { toHostId, toIncarnationId } from "@currantrill/protocol";
import type { HistoryRecorder } from "../model/history.js";
import type { Switches } from "../model/proof.js";
import type { HostProcess } from "../simulation/hostProcess.js";

export interface ClusterNode {
    readonly process: HostProcess;
    readonly id: HostId;
    start: StartState;
    ready: boolean;
    configuration: Configuration;
    freshness: Freshness;
    stops: LocalStops;
    flood: Flood;
    /** Monotonic time of the last answer of each peer with an open connection. */
    readonly heardAtMs: Map<HostId, number>;
    /** Counts connections, so that a message knows whether the one it was sent on still stands. */
    readonly connections: Map<HostId, number>;
    readonly withdrawn: Map<EndpointId, boolean>;
    messages: number;
}

export interface NodeContext {
    readonly recorder: HistoryRecorder;
    readonly switches: Switches;
}

export function createNode(process: HostProcess, seeds: readonly HostId[]): ClusterNode {
    const start = beginStart(seeds);
    return {
        process,
        id: toHostId(process.name),
        start,
        ready: false,
        configuration: start.configuration,
        freshness: { confirmedAt: undefined },
        stops: {},
        flood: emptyFlood,
        heardAtMs: new Map(),
        connections: new Map(),
        withdrawn: new Map(),
        messages: 0,
    };
}

/** Adopts a configuration if it may, and drops the stops that it overrides. */
export function adoptOnNode({ recorder, switches }: NodeContext, node: ClusterNode, incoming: Configuration): void {
    const next = adoptConfiguration(node.configuration, incoming, !switches.adoptLower);
    if (next.revision === node.configuration.revision) {
        return;
    }
    node.configuration = next;
    node.stops = dropStops(node.stops, next);
    recorder.record({
        type: "adopted",
        host: node.process.name,
        revision: next.revision,
        content: JSON.stringify(next),
    });
}

/** Counts an answer that a starting host waits for. */
export function advanceNodeStart(context: NodeContext, node: ClusterNode, event: StartEvent): void {
    node.start = advanceStart(node.start, event);
    adoptOnNode(context, node, node.start.configuration);
    if (!node.ready && isStartComplete(node.start)) {
        node.ready = true;
        context.recorder.record({ type: "ready", host: node.process.name });
    }
}

/** Counts a read of `head` that started at `startedAt`. */
export function handleHead(
    context: NodeContext,
    node: ClusterNode,
    startedAt: Clocks,
    configuration: Configuration,
): void {
    adoptOnNode(context, node, configuration);
    const { freshness } = node;
    node.freshness = recordPlatformRead(freshness, startedAt, configuration.revision, node.configuration.revision);
}

export interface HeartbeatAnswer {
    readonly peer: HostId;
    readonly revision: Revision;
    readonly confirmationAgeMs: number | undefined;
}

/** Counts a heartbeat answer. Returns whether the peer has a newer configuration to ask for. */
export function handleHeartbeat(
    context: NodeContext,
    node: ClusterNode,
    sentAt: Clocks,
    answer: HeartbeatAnswer,
): boolean {
    const now = node.process.readClocks();
    if (!context.switches.ignoreHeartbeats) {
        const countedAt = context.switches.trustArrival ? now : sentAt;
        node.freshness = recordHeartbeatAnswer(node.freshness, countedAt, answer, node.configuration.revision);
    }
    node.heardAtMs.set(answer.peer, now.monotonicMs);
    return answer.revision > node.configuration.revision;
}

/** Opens the queue of a connection that stands again. */
export function openConnection(node: ClusterNode, peer: HostId): void {
    node.heardAtMs.set(peer, node.process.readClocks().monotonicMs);
    node.connections.set(peer, (node.connections.get(peer) ?? 0) + 1);
    node.flood = openQueue(node.flood, peer);
}

/** Closes connections without an answer for too long. */
export function closeSilentConnections(node: ClusterNode, silenceMs: number): void {
    const nowMs = node.process.readClocks().monotonicMs;
    for (const [peer, heardAtMs] of node.heardAtMs) {
        if (nowMs - heardAtMs > silenceMs) {
            node.heardAtMs.delete(peer);
            node.flood = closeQueue(node.flood, peer);
        }
    }
}

/** Merges facts of a peer; stops among them take effect at once. */
export function receiveFacts(
    context: NodeContext,
    node: ClusterNode,
    peer: HostId,
    facts: readonly VersionedFact[],
): void {
    const merged = mergeFacts(node.flood, peer, facts, node.process.readClocks().monotonicMs);
    node.flood = merged.flood;
    for (const { fact } of merged.accepted) {
        if (fact.kind === "stop") {
            applyStop(context, node, fact);
        }
    }
}

/** Carries out an operator's order to stop an endpoint. */
export function stopEndpoint(context: NodeContext, node: ClusterNode, endpoint: EndpointId): void {
    const lendEpoch = findObject(node.configuration, "endpoint", endpoint)?.lendEpoch ?? 0;
    const stop: StopFact = { kind: "stop", endpoint, lendEpoch, reason: "operator" };
    const clocks = node.process.readClocks();
    const origin = { host: node.id, incarnation: toIncarnationId(node.process.incarnation) };
    context.recorder.record({ type: "stopped", host: node.process.name, endpoint, lendEpoch });
    node.flood = publishFact(node.flood, origin, stop, { wallMs: clocks.wallMs, now: clocks.monotonicMs }).flood;
    applyStop(context, node, stop);
}

function applyStop({ recorder }: NodeContext, node: ClusterNode, stop: StopFact): void {
    node.stops = dropStops(addStop(node.stops, stop), node.configuration);
    const { endpoint, lendEpoch } = stop;
    recorder.record({ type: "reclaimSeen", host: node.process.name, endpoint, means: "stop", lendEpoch });
}

/** Counts the endpoint's own report. */
export function receiveReport(
    { recorder }: NodeContext,
    node: ClusterNode,
    endpoint: EndpointId,
    withdrawn: boolean,
): void {
    if (withdrawn && node.withdrawn.get(endpoint) !== true) {
        recorder.record({ type: "reclaimSeen", host: node.process.name, endpoint, means: "report", lendEpoch: 0 });
    }
    node.withdrawn.set(endpoint, withdrawn);
}

/** Sends work to the endpoint if the lending rules allow it. */
export function useEndpoint({ recorder, switches }: NodeContext, node: ClusterNode, endpoint: EndpointId): void {
    const object = findObject(node.configuration, "endpoint", endpoint);
    if (!node.ready || object === undefined) {
        return;
    }
    const decision = decideLending(
        object,
        node.stops,
        node.freshness,
        { withdrawn: node.withdrawn.get(endpoint) ?? false },
        node.process.readClocks(),
        { ...allLendingSafeguards, ...switches.lending },
    );
    recorder.record({ type: decision.usable ? "used" : "unused", host: node.process.name, endpoint });
}
