/** Simulates a workload on engine models. Each host places requests by the assignments that it knows of. */
import {
    type Assignment,
    choosePlacement,
    type EndpointLoad,
    estimatePrefillMs,
    type Placement,
    type PlacementRequest,
    type PlacementWeights,
} from "@currantrill/forwarding";
import { type FailureDomainId, toFailureDomainId } from "@currantrill/protocol";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { EventQueue } from "../../simulation/model/eventQueue.js";
import { createEngineModel, type EngineHandle, type EngineModel } from "../model/engineModel.js";
import type { RequestKind, Workload } from "../model/workload.js";

/** Results of the requests of one kind. */
export interface KindResult {
    readonly name: string;
    requestCount: number;
    /** Number of requests that met the targets for the first event and for pauses. */
    inTimeCount: number;
    /** Value of the requests that were answered before their deadlines. */
    earnedValue: number;
    /** Value of all requests, if all of them met their targets. */
    totalValue: number;
    /** Times to the first event of the requests that had one. */
    readonly firstEventMs: number[];
}

/** Result of one run of a workload. */
export interface FleetResult {
    readonly kinds: readonly KindResult[];
    /** Earned value as a fraction of the value of all requests. */
    readonly earnedShare: number;
}

/** An assignment with the index of the host that made it, and the time from which the peers of the host know it. */
interface FleetAssignment {
    assignment: Assignment;
    readonly host: number;
    readonly knownAtMs: number;
}

/** Largest factor by which the length of a prompt increases the value of its request. */
const MAX_SIZE_WEIGHT = 4;

/** State of one run. */
interface FleetRun {
    readonly workload: Workload;
    readonly weights: PlacementWeights;
    readonly queue: EventQueue;
    readonly engines: readonly EngineModel[];
    readonly activeAssignments: Set<FleetAssignment>;
    readonly results: readonly KindResult[];
    /** Bias of each host towards each endpoint, by host and endpoint; see `EndpointLoad.bias`. */
    readonly biases: readonly (readonly number[])[];
    /** Random numbers that only arrivals use, so that all variants serve the same requests. */
    readonly arrivalRandom: () => number;
}

/** Runs a workload until its last request has ended. */
export function runFleet(workload: Workload, weights: PlacementWeights, seed: number): FleetResult {
    const queue = new EventQueue();
    const fleet: FleetRun = {
        workload,
        weights,
        queue,
        engines: Array.from({ length: workload.engines }, () => createEngineModel(workload.engine, queue)),
        activeAssignments: new Set(),
        results: workload.kinds.map(kind => ({
            name: kind.name,
            requestCount: 0,
            inTimeCount: 0,
            earnedValue: 0,
            totalValue: 0,
            firstEventMs: [],
        })),
        biases: createBiases(workload, createRandom(seed)),
        arrivalRandom: createRandom(seed + 1),
    };
    workload.kinds.forEach((_kind, index) => scheduleArrival(fleet, index));
    queue.run(Infinity);
    const sum = (getValue: (kind: KindResult) => number): number =>
        fleet.results.reduce((total, kind) => total + getValue(kind), 0);
    return { kinds: fleet.results, earnedShare: sum(kind => kind.earnedValue) / sum(kind => kind.totalValue) };
}

function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

const createBiases = (workload: Workload, random: () => number): number[][] =>
    Array.from({ length: workload.hosts }, () => Array.from({ length: workload.engines }, random));

function scheduleArrival(fleet: FleetRun, index: number): void {
    const { workload, queue } = fleet;
    const kind = workload.kinds[index];
    if (kind === undefined) {
        return;
    }
    const factor = workload.rateChanges.findLast(rateChange => rateChange.fromMs <= queue.now)?.rateFactors[index] ?? 1;
    const gapMs = -Math.log(1 - fleet.arrivalRandom()) * 1_000 / (kind.perSecond * factor);
    queue.schedule(gapMs, () => {
        if (queue.now < workload.durationMs) {
            serveArrival(fleet, kind, index);
            scheduleArrival(fleet, index);
        }
    });
}

/** Samples from a log-normal distribution with a mean of 1, whose sigma is `spread`. */
function sampleFactor(random: () => number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.exp(spread * normal - spread * spread / 2);
}

function serveArrival(fleet: FleetRun, kind: RequestKind, index: number): void {
    const { arrivalRandom, workload, queue } = fleet;
    const promptTokens = Math.round(
        Math.min(kind.maxTokens, Math.max(200, kind.meanTokens * sampleFactor(arrivalRandom, kind.spread))),
    );
    const events = Math.max(1, Math.round(kind.meanEvents * sampleFactor(arrivalRandom, kind.eventSpread)));
    const host = Math.floor(arrivalRandom() * workload.hosts);
    const placementRequest: PlacementRequest = {
        promptTokens,
        answerTokens: Math.round(events * workload.engine.stepsPerIteration * sampleFactor(arrivalRandom, 0.5)),
        targetMs: kind.targetMs,
        targetPauseMs: kind.targetPauseMs,
    };
    const sizeWeight = Math.min(MAX_SIZE_WEIGHT, 0.3 + 0.7 * promptTokens / kind.meanTokens);
    const result = fleet.results[index];
    if (result === undefined) {
        return;
    }
    result.requestCount += 1;
    result.totalValue += kind.value * sizeWeight;
    const placement = choosePlacement(
        {
            engine: workload.engine,
            hostDomain: getDomain(workload, host),
            nowMs: queue.now,
            weights: fleet.weights,
        },
        listLoads(fleet, host),
        placementRequest,
    );
    if (placement === undefined) {
        return;
    }
    startRequest(fleet, { kind, result, sizeWeight, host, placementRequest, events, placement });
}

const getDomain = (workload: Workload, index: number): FailureDomainId =>
    toFailureDomainId(String(index % workload.domains));

/** Lists the loads of all endpoints as known to a host: its local assignments and those announced to it. */
function listLoads(fleet: FleetRun, host: number): EndpointLoad[] {
    const { workload, queue } = fleet;
    const visibleAssignments = [...fleet.activeAssignments].filter(entry =>
        entry.host === host || entry.knownAtMs <= queue.now
    );
    return Array.from({ length: workload.engines }, (_, index) => ({
        id: String(index),
        address: String(index),
        failureDomain: getDomain(workload, index),
        slots: workload.engine.slots,
        assignments: visibleAssignments.filter(entry => entry.assignment.endpointId === String(index)).map(entry =>
            entry.assignment
        ),
        failures: 0,
        isUnresponsive: false,
        domainUnresponsiveFraction: 0,
        bias: fleet.biases[host]?.[index] ?? 0,
        slowdown: 1,
        isRateLimited: false,
    }));
}

/** A request that has been placed. */
interface RequestRun {
    readonly kind: RequestKind;
    readonly result: KindResult;
    readonly sizeWeight: number;
    readonly host: number;
    readonly placementRequest: PlacementRequest;
    readonly events: number;
    readonly placement: Placement;
}

function startRequest(fleet: FleetRun, run: RequestRun): void {
    const { queue } = fleet;
    const { placementRequest, placement, kind } = run;
    const shardCount = placement.helperShards.length + 1;
    const helperTokens = placement.helperShards.reduce((sum, shard) => sum + shard.reserveTokens, 0);
    const startedAtMs = queue.now;
    const requestAssignments = [
        addAssignment(
            fleet,
            run,
            placement.primary.id,
            placementRequest.promptTokens - helperTokens + placementRequest.answerTokens,
            shardCount,
            false,
        ),
        ...placement.helperShards.map(shard =>
            addAssignment(fleet, run, shard.load.id, shard.reserveTokens, shardCount, true)
        ),
    ];
    const handles: EngineHandle[] = [];
    let pendingShards = shardCount;
    let firstAtMs = Infinity;
    let lastAtMs = startedAtMs;
    let longestPauseMs = 0;
    const handlePrefillEnd = (): void => {
        pendingShards -= 1;
        if (pendingShards === 0) {
            handles[0]?.startDecode();
        }
    };
    const handleEvent = (event: number): void => {
        if (event === 1) {
            firstAtMs = queue.now;
            run.result.firstEventMs.push(firstAtMs - startedAtMs);
            requestAssignments.forEach(entry => entry.assignment = { ...entry.assignment, prefilledAtMs: queue.now });
        }
        else {
            longestPauseMs = Math.max(longestPauseMs, queue.now - lastAtMs);
        }
        lastAtMs = queue.now;
    };
    const handleEnd = (): void => {
        requestAssignments.forEach(entry => fleet.activeAssignments.delete(entry));
        handles.slice(1).forEach(handle => handle.remove());
        const isInTime = firstAtMs - startedAtMs <= kind.targetMs && longestPauseMs <= kind.targetPauseMs;
        const isServed = queue.now - startedAtMs <= kind.deadlineMs;
        run.result.inTimeCount += isInTime ? 1 : 0;
        run.result.earnedValue += isServed ? run.sizeWeight * (isInTime ? kind.value : kind.lateValue) : 0;
    };
    [placement.primary, ...placement.helperShards.map(shard => shard.load)].forEach((load, index) => {
        const handle = fleet.engines[Number(load.id)]?.add({
            promptTokens: placementRequest.promptTokens,
            shardCount,
            isHelperShard: index > 0,
            events: run.events,
            memoryTokens: index === 0
                ? placementRequest.promptTokens - helperTokens
                : placement.helperShards[index - 1]?.reserveTokens ?? 0,
            onPrefillEnd: handlePrefillEnd,
            onEvent: handleEvent,
            onEnd: handleEnd,
        });
        if (handle !== undefined) {
            handles.push(handle);
        }
    });
}

function addAssignment(
    fleet: FleetRun,
    run: RequestRun,
    endpointId: string,
    memoryTokens: number,
    shardCount: number,
    isHelperShard: boolean,
): FleetAssignment {
    const { queue, workload } = fleet;
    const entry: FleetAssignment = {
        host: run.host,
        knownAtMs: queue.now + workload.announcementDelayMs,
        assignment: {
            id: 0,
            endpointId,
            memoryTokens,
            prefillTokens: Math.ceil(run.placementRequest.promptTokens / shardCount),
            promptShards: shardCount,
            prefillMs: estimatePrefillMs(workload.engine, run.placementRequest.promptTokens, shardCount),
            targetMs: run.kind.targetMs,
            targetPauseMs: run.kind.targetPauseMs,
            isDecodedElsewhere: isHelperShard,
            startedAtMs: queue.now,
        },
    };
    fleet.activeAssignments.add(entry);
    return entry;
}
