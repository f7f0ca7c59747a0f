/** Requests, renews and releases memory on engines, as the allocation state machine of the core decides. */
import {
    advanceAllocation,
    type AllocationEffect,
    type AllocationEvent,
    type AllocationState,
    type AllocationStep,
    createAllocationState,
    listAliveAttempts,
    type LocalAllocation,
    releaseAttempt,
    requestAllocation,
    tickAllocations,
} from "@currantrill/core";
import { requestJson } from "@currantrill/http";
import type {
    AllocationId,
    AllocationRequest,
    AttemptId,
    EndpointId,
    IncarnationId,
    RequestId,
} from "@currantrill/protocol";
import type { EndpointClients } from "../../endpoints/model/endpointClients.js";

const REQUEST_TIMEOUT_MS = 1_000;
/** Interval at which the state machine looks for due renewals, repeated releases and expired allocations. */
const TICK_INTERVAL_MS = 500;

/** Identity of this host and its access to engines. */
export interface AllocationManagerOptions {
    readonly incarnation: IncarnationId;
    readonly clients: EndpointClients;
    getUrl(endpoint: EndpointId): string;
    /** Called when the engine no longer holds the memory of a running attempt. */
    handleLost(attempt: AttemptId): void;
}

/** Memory that an attempt needs on one engine. */
export interface MemoryRequest {
    readonly attempt: AttemptId;
    readonly requestId: RequestId;
    readonly endpoint: EndpointId;
    readonly tokens: number;
}

/** Manages all allocations that this host incarnation holds, may hold or has yet to release. */
export interface AllocationManager {
    /** Requests memory. Resolves with the allocation's id, or `undefined` if the engine refuses or does not respond. */
    request(demand: MemoryRequest): Promise<AllocationId | undefined>;
    /**
     * Releases all allocations of an attempt. A release is repeated until the engine confirms it or the allocation
     * expires.
     */
    release(attempt: AttemptId): void;
    /** Lists those of the given attempts that may hold memory. An owner query is answered with them. */
    listAlive(attempts: readonly AttemptId[]): AttemptId[];
    /** Counts the allocations that are held, requested or not yet confirmed as released. */
    countHeld(): number;
    /** Stops renewals and repeated releases. */
    stop(): void;
}

/** Creates a manager without allocations. It renews and releases on a timer until `stop` is called. */
export function createAllocationManager(options: AllocationManagerOptions): AllocationManager {
    let state: AllocationState = createAllocationState(options.incarnation);
    const requestIds = new Map<AttemptId, RequestId>();
    const pendingRequests = new Map<AllocationId, (held: boolean) => void>();

    const applyStep = (step: AllocationStep): void => {
        state = step.state;
        step.effects.forEach(effect => void runEffect(effect));
    };
    const runEffect = async (effect: AllocationEffect): Promise<void> => {
        const { id, attempt } = effect.allocation;
        if (effect.type === "lost") {
            resolvePending(id, false);
            options.handleLost(attempt);
            return;
        }
        const event = await sendEffect(options, effect, requestIds.get(attempt) ?? "");
        applyStep(advanceAllocation(state, event, performance.now()));
        if (effect.type === "allocate") {
            resolvePending(id, event.type === "allocated" && state.allocations.get(id)?.phase === "held");
        }
    };
    const resolvePending = (id: AllocationId, held: boolean): void => {
        pendingRequests.get(id)?.(held);
        pendingRequests.delete(id);
    };

    const timer = setInterval(() => applyStep(tickAllocations(state, performance.now())), TICK_INTERVAL_MS);
    return {
        request: async ({ requestId, ...demand }) => {
            requestIds.set(demand.attempt, requestId);
            const step = requestAllocation(state, demand, performance.now());
            const id = step.effects[0]?.allocation.id;
            if (id === undefined) {
                return undefined;
            }
            const held = new Promise<boolean>(resolve => pendingRequests.set(id, resolve));
            applyStep(step);
            return await held ? id : undefined;
        },
        release: attempt => {
            requestIds.delete(attempt);
            applyStep(releaseAttempt(state, attempt, performance.now()));
        },
        listAlive: attempts => listAliveAttempts(state, attempts),
        countHeld: () => state.allocations.size,
        stop: () => clearInterval(timer),
    };
}

/** Effects that send a request to an engine. */
type EngineEffect = Exclude<AllocationEffect, { type: "lost"; }>;

/** Sends the request of an effect to the engine and maps the response to an event. Never rejects. */
async function sendEffect(
    options: AllocationManagerOptions,
    effect: EngineEffect,
    requestId: string,
): Promise<AllocationEvent> {
    const { allocation } = effect;
    const connections = options.clients.get(options.getUrl(allocation.endpoint));
    const sentAtMs = performance.now();
    try {
        const { method, path, body } = buildRequest(options, effect, requestId);
        const { status } = await requestJson(`${connections.origin}${path}`, {
            method,
            ...(body === undefined ? {} : { body }),
            timeoutMs: REQUEST_TIMEOUT_MS,
            dispatcher: connections.getDispatcher(),
        });
        return decodeResponse(effect, allocation, status, sentAtMs);
    }
    catch {
        connections.renew();
        return { type: "answerLost", id: allocation.id };
    }
}

interface EngineRequest {
    readonly method: "POST" | "DELETE";
    readonly path: string;
    readonly body?: unknown;
}

function buildRequest(options: AllocationManagerOptions, effect: EngineEffect, requestId: string): EngineRequest {
    const { allocation } = effect;
    const path = `/v1/allocations/${encodeURIComponent(allocation.id)}`;
    switch (effect.type) {
        case "allocate": {
            const body: AllocationRequest = {
                allocation_id: allocation.id,
                request_id: requestId,
                owner: options.incarnation,
                tokens: allocation.tokens,
                ttl_ms: effect.ttlMs,
            };
            return { method: "POST", path: "/v1/allocations", body };
        }
        case "renew":
            return { method: "POST", path: `${path}/renew`, body: { ttl_ms: effect.ttlMs } };
        case "release":
            return { method: "DELETE", path };
    }
}

/** Response statuses that mean that the engine does not have the allocation. */
const ABSENT_STATUSES: ReadonlySet<number> = new Set([404, 410]);

/**
 * Maps a response status to an event. A status that does not show whether the allocation exists counts as a lost
 * response.
 */
function decodeResponse(
    effect: EngineEffect,
    { id }: LocalAllocation,
    status: number,
    sentAtMs: number,
): AllocationEvent {
    const isDone = status >= 200 && status < 300;
    if (!isDone && ABSENT_STATUSES.has(status)) {
        return { type: effect.type === "allocate" ? "refused" : "absent", id };
    }
    switch (effect.type) {
        case "allocate":
            return isDone ? { type: "allocated", id } : { type: status === 409 ? "refused" : "answerLost", id };
        case "renew":
            return isDone ? { type: "renewed", id, sentAtMs } : { type: "answerLost", id };
        case "release":
            return isDone ? { type: "released", id } : { type: "answerLost", id };
    }
}
