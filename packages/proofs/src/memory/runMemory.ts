/** Simulates attempts on hosts that hold memory on engines, and sweepers that release orphaned allocations. */
import {
    advanceAllocation,
    type AllocationEffect,
    type AllocationEvent,
    type AllocationState,
    type AllocationStep,
    createAllocationState,
    createSweepState,
    handleOwnerAnswer,
    listAliveAttempts,
    type LocalAllocation,
    releaseAttempt,
    requestAllocation,
    sweepAllocations,
    type SweepEffect,
    type SweepState,
    type SweepStep,
    tickAllocations,
} from "@currantrill/core";
import { type AttemptId, type IncarnationId, toAttemptId, toEndpointId, toIncarnationId } from "@currantrill/protocol";
import { createHistoryRecorder, type History, type HistoryRecorder } from "../model/history.js";
import type { SafeguardOverrides } from "../model/proof.js";
import { createFaultPlan, type FaultPlan } from "../simulation/faults.js";
import { createHost, type HostProcess, type SimulatedHost } from "../simulation/hostProcess.js";
import { createRandom, type Random } from "../simulation/random.js";
import { recordFaults } from "../simulation/recordFaults.js";
import { runRepeatedly } from "../simulation/runRepeatedly.js";
import { createTimeline, type Timeline } from "../simulation/timeline.js";
import { createFakeEngine, type FakeEngine } from "./fakeEngine.js";
import { MEMORY_HOST_COUNT, type MemorySchedule, type ScheduledAttempt } from "./memorySchedule.js";

const TICK_INTERVAL_MS = 500;
const SWEEP_INTERVAL_MS = 5_000;
const CAPACITY_TOKENS = 100;
/** Time until the host list drops a host whose process has ended. */
const HOST_LIST_LAG_MS = 3_000;
const MAX_SLOW_PEER_DELAY_MS = 9_000;
/** Longer than the slowest request, and than the suspicion time, the time to live and several sweeps together. */
const SETTLE_MS = 90_000;

interface MemoryNode {
    readonly process: HostProcess;
    allocations: AllocationState;
    /** Attempts that are still running. */
    readonly activeAttempts: Set<AttemptId>;
    /** State of the host's sweeper for each engine. */
    readonly sweeps: SweepState[];
}

interface MemoryWorld {
    readonly timeline: Timeline;
    readonly recorder: HistoryRecorder;
    readonly overrides: SafeguardOverrides;
    readonly faults: FaultPlan;
    readonly random: Random;
    readonly engines: readonly FakeEngine[];
    readonly hosts: SimulatedHost[];
    readonly nodes: Map<HostProcess, MemoryNode>;
    /** Virtual times at which processes ended, to simulate the lag of the host list. */
    readonly endedAtMs: Map<HostProcess, number>;
    nextAttempt: number;
}

/** Runs one schedule and returns its history. */
export function runMemory(schedule: MemorySchedule, overrides: SafeguardOverrides): History {
    const timeline = createTimeline();
    const recorder = createHistoryRecorder(timeline.getNowMs);
    const faults = createFaultPlan(schedule.faults, timeline.getNowMs);
    const context = {
        timeline,
        recorder,
        faults,
        random: createRandom(schedule.seed),
        scheduledFaults: schedule.faults,
    };
    const engines = schedule.ignoresTtl.map((ignoresTtl, index) =>
        createFakeEngine(context, { name: `engine-${index}`, capacityTokens: CAPACITY_TOKENS, ignoresTtl })
    );
    const world: MemoryWorld = {
        ...context,
        overrides,
        engines,
        hosts: [],
        nodes: new Map(),
        endedAtMs: new Map(),
        nextAttempt: 1,
    };
    recordFaults(schedule.faults, timeline, recorder);
    for (let index = 0; index < MEMORY_HOST_COUNT; index += 1) {
        world.hosts.push(createHost(context, index, process => startNode(world, process)));
    }
    for (const attempt of schedule.attempts) {
        timeline.schedule(attempt.atMs, () => beginAttempt(world, attempt));
    }
    const lastMs = [
        ...schedule.attempts.map(({ atMs, durationMs }) => atMs + durationMs),
        ...schedule.faults.map(({ atMs, durationMs }) => atMs + durationMs),
    ];
    timeline.runUntil(Math.max(...lastMs) + SETTLE_MS);
    recorder.record({ type: "finished" });
    return recorder.events;
}

function startNode(world: MemoryWorld, process: HostProcess): void {
    const node: MemoryNode = {
        process,
        allocations: createAllocationState(toIncarnationId(process.incarnation)),
        activeAttempts: new Set(),
        sweeps: world.engines.map(() => createSweepState({ releaseOrphans: !world.overrides.keepOrphans })),
    };
    world.nodes.set(process, node);
    process.onEnd(() => {
        world.endedAtMs.set(process, world.timeline.getNowMs());
        node.activeAttempts.forEach(attempt => endAttempt(world, node, attempt));
    });
    runRepeatedly(
        process,
        TICK_INTERVAL_MS,
        () => applyAllocations(world, node, tickAllocations(node.allocations, getMonotonicMs(node))),
    );
    // Every host sweeps, so that sweepers race with each other.
    runRepeatedly(
        process,
        SWEEP_INTERVAL_MS,
        () =>
            world.engines.forEach((engine, index) =>
                engine.list(process, undefined, held => {
                    if (held !== "lost") {
                        const input = { held, members: listVisibleMembers(world, process) };
                        const state = getSweep(node, index);
                        applySweep(world, node, index, sweepAllocations(state, input, getMonotonicMs(node)));
                    }
                })
            ),
    );
}

const getMonotonicMs = (node: MemoryNode): number => node.process.readClocks().monotonicMs;

function getSweep(node: MemoryNode, engine: number): SweepState {
    return node.sweeps[engine] ?? createSweepState();
}

/** Lists the hosts as the sweeper sees them: with ended ones that the host list still has, without unreachable ones. */
function listVisibleMembers(world: MemoryWorld, sweeper: HostProcess): Set<IncarnationId> {
    const nowMs = world.timeline.getNowMs();
    const listed = [...world.nodes.keys()].filter(process =>
        process.isAlive() || nowMs - (world.endedAtMs.get(process) ?? 0) < HOST_LIST_LAG_MS
    );
    const reachable = listed.filter(process =>
        process === sweeper || !isPartitioned(world, sweeper.index, process.index)
    );
    return new Set(reachable.map(process => toIncarnationId(process.incarnation)));
}

const isPartitioned = ({ faults }: MemoryWorld, from: number, to: number): boolean =>
    faults.isActive("cutFromPeers", from) || faults.isActive("cutFromPeers", to);

function beginAttempt(world: MemoryWorld, { host, engine, tokens, durationMs }: ScheduledAttempt): void {
    const process = world.hosts[host]?.getProcess();
    const node = process && world.nodes.get(process);
    const attempt = toAttemptId(`attempt-${world.nextAttempt}`);
    world.nextAttempt += 1;
    node?.process.deliver(() => {
        node.activeAttempts.add(attempt);
        world.recorder.record({ type: "attemptBegan", host: node.process.name, attempt });
        const demand = { attempt, endpoint: toEndpointId(String(engine)), tokens };
        applyAllocations(world, node, requestAllocation(node.allocations, demand, getMonotonicMs(node)));
        node.process.setTimer(durationMs, () => finishAttempt(world, node, attempt));
    });
}

function endAttempt(world: MemoryWorld, node: MemoryNode, attempt: AttemptId): void {
    if (node.activeAttempts.delete(attempt)) {
        world.recorder.record({ type: "attemptEnded", host: node.process.name, attempt });
    }
}

function finishAttempt(world: MemoryWorld, node: MemoryNode, attempt: AttemptId): void {
    endAttempt(world, node, attempt);
    applyAllocations(world, node, releaseAttempt(node.allocations, attempt, getMonotonicMs(node)));
}

function applyAllocations(world: MemoryWorld, node: MemoryNode, step: AllocationStep): void {
    node.allocations = step.state;
    step.effects.forEach(effect => runAllocationEffect(world, node, effect));
}

function runAllocationEffect(world: MemoryWorld, node: MemoryNode, effect: AllocationEffect): void {
    const { allocation } = effect;
    const engine = world.engines[Number(allocation.endpoint)];
    const { id } = allocation;
    const dispatch = (event: AllocationEvent): void =>
        applyAllocations(world, node, advanceAllocation(node.allocations, event, getMonotonicMs(node)));
    const sentAtMs = getMonotonicMs(node);
    switch (effect.type) {
        case "allocate":
            engine?.allocate(node.process, toRequest(node, allocation, effect.ttlMs), answer =>
                dispatch(
                    answer === "lost" ? { type: "answerLost", id } : {
                        type: answer === "done" ? "allocated" : "refused",
                        id,
                    },
                ));
            return;
        case "renew":
            engine?.renew(node.process, toRequest(node, allocation, effect.ttlMs), answer =>
                dispatch(
                    answer === "done"
                        ? { type: "renewed", id, sentAtMs }
                        : { type: answer === "lost" ? "answerLost" : "absent", id },
                ));
            return;
        case "release":
            engine?.release(
                node.process,
                { id, bySweeper: false },
                answer => dispatch({ type: answer === "lost" ? "answerLost" : "released", id }),
            );
            return;
        case "lost":
            endAttempt(world, node, allocation.attempt);
            return;
    }
}

const toRequest = (node: MemoryNode, { id, tokens }: LocalAllocation, ttlMs: number) => ({
    id,
    owner: node.process.incarnation,
    tokens,
    ttlMs,
});

function applySweep(world: MemoryWorld, node: MemoryNode, engine: number, step: SweepStep): void {
    node.sweeps[engine] = step.state;
    step.effects.forEach(effect => runSweepEffect(world, node, engine, effect));
}

function runSweepEffect(world: MemoryWorld, node: MemoryNode, engine: number, effect: SweepEffect): void {
    if (effect.type === "release") {
        world.engines[engine]?.release(node.process, { id: effect.allocation, bySweeper: true }, () => undefined);
        return;
    }
    const owner = [...world.nodes.values()].find(entry => entry.process.incarnation === effect.incarnation);
    if (owner === undefined) {
        return;
    }
    sendToHost(world, node.process, owner.process, () => {
        const alive = world.overrides.denyOwnership ? [] : listAliveAttempts(owner.allocations, effect.attempts);
        const answer = { id: effect.queryId, incarnation: effect.incarnation, alive };
        sendToHost(
            world,
            owner.process,
            node.process,
            () => applySweep(world, node, engine, handleOwnerAnswer(getSweep(node, engine), answer)),
        );
    });
}

function sendToHost(world: MemoryWorld, from: HostProcess, to: HostProcess, receive: () => void): void {
    const slowMs = world.faults.isActive("peersSlow") ? world.random.sample(0, MAX_SLOW_PEER_DELAY_MS) : 0;
    if (from === to || !isPartitioned(world, from.index, to.index)) {
        world.timeline.schedule(world.random.sample(1, 5) + slowMs, () => to.deliver(receive));
    }
}
