/** State of one host process (configuration, stops, gossip, peers) and its changes, made by functions of the core. */
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
    emptyGossipState,
    findObject,
    type Freshness,
    type GossipState,
    isStartComplete,
    listEvacuatedDomains,
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
import type { SafeguardOverrides } from "../model/proof.js";
import type { HostProcess } from "../simulation/hostProcess.js";

/** The state of one host process in a cluster run. */
export interface ClusterNode {
    readonly process: HostProcess;
    readonly id: HostId;
    /** Progress of the start, during which the host collects state from the platform and its seeds. */
    startState: StartState;
    /** Whether the start is complete. */
    ready: boolean;
    configuration: Configuration;
    /** When the platform last confirmed the configuration, as far as the host knows. */
    freshness: Freshness;
    /** Stops of endpoints by operators, received here or from peers. */
    stops: LocalStops;
    gossip: GossipState;
    /** Monotonic time of the last answer from each peer with an open connection. */
    readonly lastHeardAtMs: Map<HostId, number>;
    /** Number of connections opened to each peer so far. After an increase, the earlier connection is closed. */
    readonly connectionNumbers: Map<HostId, number>;
    /** Whether each endpoint last reported that its owner has withdrawn it. */
    readonly withdrawn: Map<EndpointId, boolean>;
    /** Messages sent since the last `messages` event. */
    messageCount: number;
}

export interface NodeContext {
    readonly recorder: HistoryRecorder;
    readonly overrides: SafeguardOverrides;
}

/** Creates the node of a process that starts. `seeds` are the peers from which it requests snapshots. */
export function createNode(process: HostProcess, seeds: readonly HostId[]): ClusterNode {
    const start = beginStart(seeds);
    return {
        process,
        id: toHostId(process.name),
        startState: start,
        ready: false,
        configuration: start.configuration,
        freshness: { confirmedAt: undefined },
        stops: {},
        gossip: emptyGossipState,
        lastHeardAtMs: new Map(),
        connectionNumbers: new Map(),
        withdrawn: new Map(),
        messageCount: 0,
    };
}

/** Adopts a configuration of a higher revision, and drops the stops that it overrides with a higher lend epoch. */
export function adoptConfigurationOnNode(
    { recorder, overrides }: NodeContext,
    node: ClusterNode,
    incoming: Configuration,
): void {
    const next = adoptConfiguration(node.configuration, incoming, !overrides.adoptLower);
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

/** Handles an answer to a starting host. */
export function advanceNodeStart(context: NodeContext, node: ClusterNode, event: StartEvent): void {
    node.startState = advanceStart(node.startState, event);
    adoptConfigurationOnNode(context, node, node.startState.configuration);
    if (!node.ready && isStartComplete(node.startState)) {
        node.ready = true;
        context.recorder.record({ type: "ready", host: node.process.name });
    }
}

/** Handles a read of `head` (the newest revision) that started at `startedAt`; it may confirm the configuration. */
export function handlePlatformRead(
    context: NodeContext,
    node: ClusterNode,
    startedAt: Clocks,
    configuration: Configuration,
): void {
    adoptConfigurationOnNode(context, node, configuration);
    const { freshness } = node;
    node.freshness = recordPlatformRead(freshness, startedAt, configuration.revision, node.configuration.revision);
}

/** What a peer answers to a heartbeat. */
export interface HeartbeatAnswer {
    readonly peer: HostId;
    readonly revision: Revision;
    /** Time since the peer's configuration was last confirmed; `undefined` if it never was. */
    readonly confirmationAgeMs: number | undefined;
}

/** Handles the answer to a heartbeat sent at `sentAt`. Returns whether the peer has a newer configuration. */
export function handleHeartbeat(
    context: NodeContext,
    node: ClusterNode,
    sentAt: Clocks,
    answer: HeartbeatAnswer,
): boolean {
    const now = node.process.readClocks();
    if (!context.overrides.ignoreHeartbeats) {
        const countedAt = context.overrides.trustArrival ? now : sentAt;
        node.freshness = recordHeartbeatAnswer(node.freshness, countedAt, answer, node.configuration.revision);
    }
    node.lastHeardAtMs.set(answer.peer, now.monotonicMs);
    return answer.revision > node.configuration.revision;
}

/** Opens the gossip queue to a peer after a new connection to it. */
export function openConnection(node: ClusterNode, peer: HostId): void {
    node.lastHeardAtMs.set(peer, node.process.readClocks().monotonicMs);
    node.connectionNumbers.set(peer, (node.connectionNumbers.get(peer) ?? 0) + 1);
    node.gossip = openQueue(node.gossip, peer);
}

/** Closes connections to peers that have not answered for longer than `timeoutMs`. */
export function closeUnresponsiveConnections(node: ClusterNode, timeoutMs: number): void {
    const nowMs = node.process.readClocks().monotonicMs;
    for (const [peer, lastHeardAtMs] of node.lastHeardAtMs) {
        if (nowMs - lastHeardAtMs > timeoutMs) {
            node.lastHeardAtMs.delete(peer);
            node.gossip = closeQueue(node.gossip, peer);
        }
    }
}

/** Merges facts (versioned gossip entries) from a peer. Stops among them take effect at once. */
export function receiveFacts(
    context: NodeContext,
    node: ClusterNode,
    peer: HostId,
    facts: readonly VersionedFact[],
): void {
    const merged = mergeFacts(node.gossip, peer, facts, node.process.readClocks().monotonicMs);
    node.gossip = merged.gossipState;
    for (const { fact } of merged.accepted) {
        if (fact.kind === "stop") {
            applyStop(context, node, fact);
        }
    }
}

/** Executes an operator's order to stop the use of an endpoint, and publishes it to the peers. */
export function stopEndpoint(context: NodeContext, node: ClusterNode, endpoint: EndpointId): void {
    const lendEpoch = findObject(node.configuration, "endpoint", endpoint)?.lendEpoch ?? 0;
    const stop: StopFact = { kind: "stop", endpoint, lendEpoch, reason: "operator" };
    const clocks = node.process.readClocks();
    const origin = { host: node.id, incarnation: toIncarnationId(node.process.incarnation) };
    context.recorder.record({ type: "stopped", host: node.process.name, endpoint, lendEpoch });
    node.gossip =
        publishFact(node.gossip, origin, stop, { wallMs: clocks.wallMs, now: clocks.monotonicMs }).gossipState;
    applyStop(context, node, stop);
}

function applyStop({ recorder }: NodeContext, node: ClusterNode, stop: StopFact): void {
    node.stops = dropStops(addStop(node.stops, stop), node.configuration);
    const { endpoint, lendEpoch } = stop;
    recorder.record({ type: "reclaimSeen", host: node.process.name, endpoint, via: "stop", lendEpoch });
}

/** Handles the endpoint's report of whether its owner has withdrawn it. */
export function receiveReport(
    { recorder }: NodeContext,
    node: ClusterNode,
    endpoint: EndpointId,
    withdrawn: boolean,
): void {
    if (withdrawn && node.withdrawn.get(endpoint) !== true) {
        recorder.record({ type: "reclaimSeen", host: node.process.name, endpoint, via: "report", lendEpoch: 0 });
    }
    node.withdrawn.set(endpoint, withdrawn);
}

/** Records whether the lending rules allow the host to send work to the endpoint now. A starting host sends none. */
export function useEndpoint({ recorder, overrides }: NodeContext, node: ClusterNode, endpoint: EndpointId): void {
    const object = findObject(node.configuration, "endpoint", endpoint);
    if (!node.ready || object === undefined) {
        return;
    }
    const decision = decideLending(
        object,
        listEvacuatedDomains(node.configuration),
        node.stops,
        node.freshness,
        { withdrawn: node.withdrawn.get(endpoint) ?? false },
        node.process.readClocks(),
        { ...allLendingSafeguards, ...overrides.lending },
    );
    recorder.record({ type: decision.usable ? "used" : "unused", host: node.process.name, endpoint });
}
