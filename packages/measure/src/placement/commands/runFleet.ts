/** Runs a workload on engine models, with hosts that place by their own knowledge. */
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

export interface KindResult {
    readonly name: string;
    asked: number;
    inTime: number;
    earned: number;
    owed: number;
    /** Times to the first event. */
    readonly firstEventMs: number[];
}

export interface FleetResult {
    readonly kinds: readonly KindResult[];
    /** Earned part of the worth of all requests. */
    readonly share: number;
}

/** A booking with the host that made it and the time from which peers know it. */
interface FleetBooking {
    booking: Assignment;
    readonly host: number;
    readonly knownAtMs: number;
}

const MAX_SIZE_FACTOR = 4;

interface Fleet {
    readonly workload: Workload;
    readonly weights: PlacementWeights;
    readonly queue: EventQueue;
    readonly engines: readonly EngineModel[];
    readonly bookings: Set<FleetBooking>;
    readonly results: readonly KindResult[];
    /** Own order of the endpoints, by host and endpoint. */
    readonly biases: readonly (readonly number[])[];
    /** Numbers for arrivals alone, so that all policies meet the same requests. */
    readonly arrivals: () => number;
}

/** Runs a workload to the end of its last request. */
export function runFleet(workload: Workload, weights: PlacementWeights, seed: number): FleetResult {
    const queue = new EventQueue();
    const fleet: Fleet = {
        workload,
        weights,
        queue,
        engines: Array.from({ length: workload.engines }, () => createEngineModel(workload.engine, queue)),
        bookings: new Set(),
        results: workload.kinds.map(kind => ({
            name: kind.name,
            asked: 0,
            inTime: 0,
            earned: 0,
            owed: 0,
            firstEventMs: [],
        })),
        biases: createBiases(workload, createRandom(seed)),
        arrivals: createRandom(seed + 1),
    };
    workload.kinds.forEach((_kind, index) => scheduleArrival(fleet, index));
    queue.run(Infinity);
    const sum = (pick: (kind: KindResult) => number): number =>
        fleet.results.reduce((total, kind) => total + pick(kind), 0);
    return { kinds: fleet.results, share: sum(kind => kind.earned) / sum(kind => kind.owed) };
}

function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

const createBiases = (workload: Workload, random: () => number): number[][] =>
    Array.from({ length: workload.hosts }, () => Array.from({ length: workload.engines }, random));

function scheduleArrival(fleet: Fleet, index: number): void {
    const { workload, queue } = fleet;
    const kind = workload.kinds[index];
    if (kind === undefined) {
        return;
    }
    const factor = workload.waves.findLast(wave => wave.fromMs <= queue.now)?.factors[index] ?? 1;
    const gapMs = -Math.log(1 - fleet.arrivals()) * 1_000 / (kind.perSecond * factor);
    queue.schedule(gapMs, () => {
        if (queue.now < workload.durationMs) {
            serveArrival(fleet, kind, index);
            scheduleArrival(fleet, index);
        }
    });
}

/** Draws from a log-normal distribution with a mean of 1. */
function sampleFactor(random: () => number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.exp(spread * normal - spread * spread / 2);
}

function serveArrival(fleet: Fleet, kind: RequestKind, index: number): void {
    const { arrivals, workload, queue } = fleet;
    const promptTokens = Math.round(
        Math.min(kind.maxTokens, Math.max(200, kind.meanTokens * sampleFactor(arrivals, kind.spread))),
    );
    const events = Math.max(1, Math.round(kind.meanEvents * sampleFactor(arrivals, kind.eventSpread)));
    const host = Math.floor(arrivals() * workload.hosts);
    const need: PlacementRequest = {
        promptTokens,
        answerTokens: Math.round(events * workload.engine.stepsPerIteration * sampleFactor(arrivals, 0.5)),
        targetMs: kind.targetMs,
        targetPauseMs: kind.targetPauseMs,
    };
    const size = Math.min(MAX_SIZE_FACTOR, 0.3 + 0.7 * promptTokens / kind.meanTokens);
    const result = fleet.results[index];
    if (result === undefined) {
        return;
    }
    result.asked += 1;
    result.owed += kind.worth * size;
    const placement = choosePlacement(
        {
            engine: workload.engine,
            hostDomain: getDomain(workload, host),
            nowMs: queue.now,
            weights: fleet.weights,
        },
        listLoads(fleet, host),
        need,
    );
    if (placement === undefined) {
        return;
    }
    startRequest(fleet, { kind, result, size, host, need, events, placement });
}

const getDomain = (workload: Workload, index: number): FailureDomainId =>
    toFailureDomainId(String(index % workload.domains));

function listLoads(fleet: Fleet, host: number): EndpointLoad[] {
    const { workload, queue } = fleet;
    const known = [...fleet.bookings].filter(each => each.host === host || each.knownAtMs <= queue.now);
    return Array.from({ length: workload.engines }, (_, index) => ({
        id: String(index),
        address: String(index),
        failureDomain: getDomain(workload, index),
        slots: workload.engine.slots,
        assignments: known.filter(each => each.booking.endpointId === String(index)).map(each => each.booking),
        failures: 0,
        isUnresponsive: false,
        domainUnresponsiveFraction: 0,
        bias: fleet.biases[host]?.[index] ?? 0,
        slowdown: 1,
    }));
}

interface RequestRun {
    readonly kind: RequestKind;
    readonly result: KindResult;
    readonly size: number;
    readonly host: number;
    readonly need: PlacementRequest;
    readonly events: number;
    readonly placement: Placement;
}

function startRequest(fleet: Fleet, run: RequestRun): void {
    const { queue } = fleet;
    const { need, placement, kind } = run;
    const parts = placement.helperShards.length + 1;
    const reserved = placement.helperShards.reduce((sum, part) => sum + part.reserveTokens, 0);
    const startedAtMs = queue.now;
    const bookings = [
        addBooking(fleet, run, placement.primary.id, need.promptTokens - reserved + need.answerTokens, parts, false),
        ...placement.helperShards.map(part => addBooking(fleet, run, part.load.id, part.reserveTokens, parts, true)),
    ];
    const handles: EngineHandle[] = [];
    let unread = parts;
    let firstAtMs = Infinity;
    let lastAtMs = startedAtMs;
    let longestPauseMs = 0;
    const handleRead = (): void => {
        unread -= 1;
        if (unread === 0) {
            handles[0]?.write();
        }
    };
    const handleEvent = (event: number): void => {
        if (event === 1) {
            firstAtMs = queue.now;
            run.result.firstEventMs.push(firstAtMs - startedAtMs);
            bookings.forEach(each => each.booking = { ...each.booking, prefilledAtMs: queue.now });
        }
        else {
            longestPauseMs = Math.max(longestPauseMs, queue.now - lastAtMs);
        }
        lastAtMs = queue.now;
    };
    const handleEnd = (): void => {
        bookings.forEach(each => fleet.bookings.delete(each));
        handles.slice(1).forEach(handle => handle.remove());
        const isInTime = firstAtMs - startedAtMs <= kind.targetMs && longestPauseMs <= kind.targetPauseMs;
        const isServed = queue.now - startedAtMs <= kind.deadlineMs;
        run.result.inTime += isInTime ? 1 : 0;
        run.result.earned += isServed ? run.size * (isInTime ? kind.worth : kind.lateWorth) : 0;
    };
    [placement.primary, ...placement.helperShards.map(part => part.load)].forEach((load, index) => {
        const handle = fleet.engines[Number(load.id)]?.add({
            promptTokens: need.promptTokens,
            parts,
            isPart: index > 0,
            events: run.events,
            memoryTokens: index === 0
                ? need.promptTokens - reserved
                : placement.helperShards[index - 1]?.reserveTokens ?? 0,
            onRead: handleRead,
            onEvent: handleEvent,
            onEnd: handleEnd,
        });
        if (handle !== undefined) {
            handles.push(handle);
        }
    });
}

function addBooking(
    fleet: Fleet,
    run: RequestRun,
    endpointId: string,
    memoryTokens: number,
    parts: number,
    isPart: boolean,
): FleetBooking {
    const { queue, workload } = fleet;
    const entry: FleetBooking = {
        host: run.host,
        knownAtMs: queue.now + workload.newsMs,
        booking: {
            id: 0,
            endpointId,
            memoryTokens,
            prefillTokens: Math.ceil(run.need.promptTokens / parts),
            promptShards: parts,
            prefillMs: estimatePrefillMs(workload.engine, run.need.promptTokens, parts),
            targetMs: run.kind.targetMs,
            targetPauseMs: run.kind.targetPauseMs,
            isDecodedElsewhere: isPart,
            startedAtMs: queue.now,
        },
    };
    fleet.bookings.add(entry);
    return entry;
}
