/** KV memory of the engine stand-in: allocations with a time to live, and memory of requests without an allocation. */
import type { AllocationRequest, HeldAllocation } from "@currantrill/protocol";

/** Limit of the released allocation ids that the engine remembers; the oldest are removed first. */
const MAX_RELEASED_IDS = 100_000;

interface StoredAllocation extends AllocationRequest {
    /** Expiry time on the monotonic clock (`performance.now`). */
    expiresAtMs: number;
}

/** Memory accounting in tokens. */
export interface EngineMemory {
    readonly totalTokens: number;
    readonly allocations: Map<string, StoredAllocation>;
    /** Ids of released allocations, so that an allocation request that arrives after its release has no effect. */
    readonly released: Set<string>;
    /** Tokens of running requests without an allocation. */
    implicitTokens: number;
}

export const createEngineMemory = (totalTokens: number): EngineMemory => ({
    totalTokens,
    allocations: new Map(),
    released: new Set(),
    implicitTokens: 0,
});

/** Result of an allocation request: `held` if the id was allocated before, `released` if it was released before. */
export type AllocationResult = "created" | "held" | "released" | "full";

/** Allocates memory. Idempotent: a repeated request with the same id has no further effect. */
export function allocateMemory(memory: EngineMemory, request: AllocationRequest): AllocationResult {
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
    memory.allocations.set(request.allocation_id, { ...request, expiresAtMs: performance.now() + request.ttl_ms });
    return "created";
}

/** Restarts the time to live of an allocation. Returns false if the allocation is not held. */
export function renewAllocation(memory: EngineMemory, id: string, ttlMs: number): boolean {
    expireAllocations(memory);
    const allocation = memory.allocations.get(id);
    if (allocation === undefined) {
        return false;
    }
    allocation.expiresAtMs = performance.now() + ttlMs;
    return true;
}

/** Releases an allocation. Idempotent. Returns whether the allocation was held. */
export function releaseAllocation(memory: EngineMemory, id: string): boolean {
    memory.released.add(id);
    if (memory.released.size > MAX_RELEASED_IDS) {
        memory.released.delete(memory.released.values().next().value ?? "");
    }
    return memory.allocations.delete(id);
}

/** Releases the allocations whose time to live has passed. */
export function expireAllocations(memory: EngineMemory): void {
    const now = performance.now();
    for (const allocation of memory.allocations.values()) {
        if (allocation.expiresAtMs <= now) {
            releaseAllocation(memory, allocation.allocation_id);
        }
    }
}

/** Lists the allocations that are held and not expired. */
export function listAllocations(memory: EngineMemory): HeldAllocation[] {
    expireAllocations(memory);
    const now = performance.now();
    return [...memory.allocations.values()].map(({ allocation_id, request_id, owner, tokens, expiresAtMs }) => ({
        allocation_id,
        request_id,
        owner,
        tokens,
        remaining_ms: expiresAtMs - now,
    }));
}

/** Tokens of memory in use, excluding the prefix cache, which is evicted when memory is needed. */
export const getUsedTokens = (memory: EngineMemory): number =>
    [...memory.allocations.values()].reduce((sum, allocation) => sum + allocation.tokens, memory.implicitTokens);

/** Tokens of memory available to allocations and requests, including those that the prefix cache uses. */
export const getFreeTokens = (memory: EngineMemory): number => memory.totalTokens - getUsedTokens(memory);
