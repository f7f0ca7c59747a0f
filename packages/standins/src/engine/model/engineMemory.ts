/** KV memory of an engine: allocations with a time to live, and memory of requests that came without one. */
import type { AllocationRequest, HeldAllocation } from "@currantrill/protocol";

const MAX_RELEASED = 100_000;

interface StoredAllocation extends AllocationRequest {
    expiresMs: number;
}

export interface EngineMemory {
    readonly totalTokens: number;
    readonly allocations: Map<string, StoredAllocation>;
    /** Ids that were released, so that an allocation request that arrives after its release has no effect. */
    readonly released: Set<string>;
    /** Memory of running requests without an allocation. */
    implicitTokens: number;
}

export const createEngineMemory = (totalTokens: number): EngineMemory => ({
    totalTokens,
    allocations: new Map(),
    released: new Set(),
    implicitTokens: 0,
});

export type AllocateResult = "created" | "held" | "released" | "full";

/** Holds memory. The same id again changes nothing. */
export function reserveMemory(memory: EngineMemory, request: AllocationRequest): AllocateResult {
    expireAllocations(memory);
    if (memory.allocations.has(request.allocation_id)) {
        return "held";
    }
    if (memory.released.has(request.allocation_id)) {
        return "released";
    }
    if (request.tokens > getFreeTokens(memory)) {
        return "full";
    }
    memory.allocations.set(request.allocation_id, { ...request, expiresMs: performance.now() + request.ttl_ms });
    return "created";
}

/** Extends the time to live. Returns whether the allocation is held. */
export function renewAllocation(memory: EngineMemory, id: string, ttlMs: number): boolean {
    expireAllocations(memory);
    const allocation = memory.allocations.get(id);
    if (allocation === undefined) {
        return false;
    }
    allocation.expiresMs = performance.now() + ttlMs;
    return true;
}

/** Releases an allocation. Returns whether it was held; a second release is harmless. */
export function releaseAllocation(memory: EngineMemory, id: string): boolean {
    memory.released.add(id);
    if (memory.released.size > MAX_RELEASED) {
        memory.released.delete(memory.released.values().next().value ?? "");
    }
    return memory.allocations.delete(id);
}

/** Releases what was not renewed in time. */
export function expireAllocations(memory: EngineMemory): void {
    const now = performance.now();
    for (const allocation of memory.allocations.values()) {
        if (allocation.expiresMs <= now) {
            releaseAllocation(memory, allocation.allocation_id);
        }
    }
}

/** Lists the held allocations. */
export function listAllocations(memory: EngineMemory): HeldAllocation[] {
    expireAllocations(memory);
    const now = performance.now();
    return [...memory.allocations.values()].map(({ allocation_id, request_id, owner, tokens, expiresMs }) => ({
        allocation_id,
        request_id,
        owner,
        tokens,
        remaining_ms: expiresMs - now,
    }));
}

/** Memory in use, without the prefix cache, which gives way. */
export const getUsedTokens = (memory: EngineMemory): number =>
    [...memory.allocations.values()].reduce((sum, allocation) => sum + allocation.tokens, memory.implicitTokens);

export const getFreeTokens = (memory: EngineMemory): number => memory.totalTokens - getUsedTokens(memory);
