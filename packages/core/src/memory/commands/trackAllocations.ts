/** The owner's side of allocations: request, renewal and release. Times are on the monotonic clock. */
import type { AllocationId, AttemptId, EndpointId, IncarnationId } from "@currantrill/protocol";
import {
    ALLOCATION_TTL_MS,
    type AllocationEffect,
    type AllocationEvent,
    type AllocationPhase,
    type AllocationState,
    type AllocationStep,
    formatAllocationId,
    type LocalAllocation,
    RENEW_INTERVAL_MS,
} from "../model/allocation.js";

/** Delay before a renewal or release without a response is retried. */
const RETRY_DELAY_MS = 1_000;

/** Memory that an attempt needs on an endpoint. */
export interface MemoryRequest {
    readonly attempt: AttemptId;
    readonly endpoint: EndpointId;
    readonly tokens: number;
}

export const createAllocationState = (incarnation: IncarnationId): AllocationState => ({
    incarnation,
    nextIndex: 0,
    allocations: new Map(),
});

/**
 * Requests memory. The entry exists before the request leaves the host, so that the host knows the attempt whenever an
 * engine can hold memory for it.
 */
export function requestAllocation(state: AllocationState, request: MemoryRequest, nowMs: number): AllocationStep {
    const { incarnation, nextIndex } = state;
    const allocation: LocalAllocation = {
        ...request,
        id: formatAllocationId({ incarnation, attempt: request.attempt, index: nextIndex }),
        phase: "requested",
        dueAtMs: nowMs + RENEW_INTERVAL_MS,
        expiresAtMs: nowMs + ALLOCATION_TTL_MS,
    };
    return {
        state: putAllocation({ ...state, nextIndex: nextIndex + 1 }, allocation),
        effects: [{ type: "allocate", allocation, ttlMs: ALLOCATION_TTL_MS }],
    };
}

/** Releases all memory that an attempt holds or may hold. */
export function releaseAttempt(state: AllocationState, attempt: AttemptId, nowMs: number): AllocationStep {
    const owned = [...state.allocations.values()].filter(entry => entry.attempt === attempt);
    return owned
        .filter(entry => entry.phase !== "releasing")
        .reduce<AllocationStep>((step, entry) => mergeSteps(step, startRelease(step.state, entry, nowMs)), {
            state,
            effects: [],
        });
}

/** Advances an allocation by the response to an effect. A response about an unknown allocation changes nothing. */
export function advanceAllocation(state: AllocationState, event: AllocationEvent, nowMs: number): AllocationStep {
    const allocation = state.allocations.get(event.id);
    if (allocation === undefined) {
        return { state, effects: [] };
    }
    return responseHandlers[allocation.phase](state, allocation, event, nowMs);
}

/** Issues the effects that are due: renewals, and releases that were not confirmed. */
export function tickAllocations(state: AllocationState, nowMs: number): AllocationStep {
    return [...state.allocations.values()]
        .filter(entry => entry.dueAtMs <= nowMs || entry.expiresAtMs <= nowMs)
        .reduce<AllocationStep>((step, entry) => mergeSteps(step, handleDue(step.state, entry, nowMs)), {
            state,
            effects: [],
        });
}

/** Lists those of `attempts` that are entitled to memory, as the answer to an ownership query of a sweeper. */
export function listAliveAttempts(state: AllocationState, attempts: readonly AttemptId[]): AttemptId[] {
    const alive = new Set(
        [...state.allocations.values()].filter(entry => entry.phase !== "releasing").map(entry => entry.attempt),
    );
    return attempts.filter(attempt => alive.has(attempt));
}

type ResponseHandler = (
    state: AllocationState,
    allocation: LocalAllocation,
    event: AllocationEvent,
    nowMs: number,
) => AllocationStep;

const responseHandlers: Record<AllocationPhase, ResponseHandler> = {
    requested: (state, allocation, event, nowMs) => {
        if (event.type === "allocated") {
            const held: LocalAllocation = { ...allocation, phase: "held" };
            return { state: putAllocation(state, held), effects: [] };
        }
        if (event.type === "refused") {
            return { state: removeAllocation(state, allocation.id), effects: [] };
        }
        // The engine may hold the memory although no response arrived.
        const release = startRelease(state, allocation, nowMs);
        return { state: release.state, effects: [{ type: "lost", allocation }, ...release.effects] };
    },
    held: (state, allocation, event, nowMs) => {
        if (event.type === "renewed") {
            const expiresAtMs = Math.max(allocation.expiresAtMs, event.sentAtMs + ALLOCATION_TTL_MS);
            const renewed = { ...allocation, expiresAtMs };
            return { state: putAllocation(state, renewed), effects: [] };
        }
        if (event.type === "absent" || event.type === "released") {
            return { state: removeAllocation(state, allocation.id), effects: [{ type: "lost", allocation }] };
        }
        const retry = { ...allocation, dueAtMs: Math.min(allocation.dueAtMs, nowMs + RETRY_DELAY_MS) };
        return { state: event.type === "answerLost" ? putAllocation(state, retry) : state, effects: [] };
    },
    releasing: (state, allocation, event) => {
        const isFreed = event.type === "released" || event.type === "absent" || event.type === "refused";
        return { state: isFreed ? removeAllocation(state, allocation.id) : state, effects: [] };
    },
};

function handleDue(state: AllocationState, allocation: LocalAllocation, nowMs: number): AllocationStep {
    if (allocation.expiresAtMs <= nowMs) {
        return handleExpired(state, allocation, nowMs);
    }
    if (allocation.phase === "releasing") {
        const next = { ...allocation, dueAtMs: nowMs + RETRY_DELAY_MS };
        return { state: putAllocation(state, next), effects: [{ type: "release", allocation: next }] };
    }
    if (allocation.phase === "requested") {
        return { state, effects: [] };
    }
    const next = { ...allocation, dueAtMs: nowMs + RENEW_INTERVAL_MS };
    return {
        state: putAllocation(state, next),
        effects: [{ type: "renew", allocation: next, ttlMs: ALLOCATION_TTL_MS }],
    };
}

/** After the time to live the engine has dropped the memory. If it has not, the sweeper releases it. */
function handleExpired(state: AllocationState, allocation: LocalAllocation, nowMs: number): AllocationStep {
    if (allocation.phase === "releasing") {
        return { state: removeAllocation(state, allocation.id), effects: [] };
    }
    const release = startRelease(state, allocation, nowMs);
    return { state: release.state, effects: [{ type: "lost", allocation }, ...release.effects] };
}

function startRelease(state: AllocationState, allocation: LocalAllocation, nowMs: number): AllocationStep {
    const releasing: LocalAllocation = {
        ...allocation,
        phase: "releasing",
        dueAtMs: nowMs + RETRY_DELAY_MS,
        expiresAtMs: nowMs + ALLOCATION_TTL_MS,
    };
    return { state: putAllocation(state, releasing), effects: [{ type: "release", allocation: releasing }] };
}

const mergeSteps = (step: AllocationStep, next: AllocationStep): AllocationStep => ({
    state: next.state,
    effects: [...step.effects, ...next.effects] satisfies AllocationEffect[],
});

function putAllocation(state: AllocationState, allocation: LocalAllocation): AllocationState {
    return { ...state, allocations: new Map(state.allocations).set(allocation.id, allocation) };
}

function removeAllocation(state: AllocationState, id: AllocationId): AllocationState {
    const allocations = new Map(state.allocations);
    allocations.delete(id);
    return { ...state, allocations };
}
