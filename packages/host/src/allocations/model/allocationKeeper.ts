/** Keeps the memory that this host holds on engines: requests, renews and releases it as the core decides. */
import {
    advanceAllocation,
    type AllocationEffect,
    type AllocationEvent,
    type AllocationState,
    type AllocationStep,
    createAllocationState,
    listAliveAttempts,
    type OwnAllocation,
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
const TICK_MS = 500;

export interface AllocationKeeperOptions {
    readonly incarnation: IncarnationId;
    readonly clients: EndpointClients;
    getUrl(endpoint: EndpointId): string;
    /** The engine no longer holds the memory of a running attempt. */
    handleLost(attempt: AttemptId): void;
}

export interface MemoryDemand {
    readonly attempt: AttemptId;
    readonly requestId: RequestId;
    readonly endpoint: EndpointId;
    readonly tokens: number;
}

export interface AllocationKeeper {
    /** Requests memory. Resolves with the id once the engine holds it, or `undefined` if it does not. */
    request(demand: MemoryDemand): Promise<AllocationId | undefined>;
    /** Releases everything of an attempt, now or as soon as its engines answer. */
    release(attempt: AttemptId): void;
    /** The attempts among those asked about that are entitled to memory. */
    listAlive(attempts: readonly AttemptId[]): AttemptId[];
    countHeld(): number;
    stop(): void;
}

/** Creates a keeper that holds nothing. */
export function createAllocationKeeper(options: AllocationKeeperOptions): AllocationKeeper {
    let state: AllocationState = createAllocationState(options.incarnation);
    const requestIds = new Map<AttemptId, RequestId>();
    const waiting = new Map<AllocationId, (held: boolean) => void>();

    const applyStep = (step: AllocationStep): void => {
        state = step.state;
        step.effects.forEach(effect => void runEffect(effect));
    };
    const runEffect = async (effect: AllocationEffect): Promise<void> => {
        const { id, attempt } = effect.allocation;
        if (effect.type === "lost") {
            settle(id, false);
            options.handleLost(attempt);
            return;
        }
        const event = await sendEffect(options, effect, requestIds.get(attempt) ?? "");
        applyStep(advanceAllocation(state, event, performance.now()));
        if (effect.type === "allocate") {
            settle(id, event.type === "allocated" && state.allocations.get(id)?.phase === "held");
        }
    };
    const settle = (id: AllocationId, held: boolean): void => {
        waiting.get(id)?.(held);
        waiting.delete(id);
    };

    const tick = setInterval(() => applyStep(tickAllocations(state, performance.now())), TICK_MS);
    return {
        request: async ({ requestId, ...demand }) => {
            requestIds.set(demand.attempt, requestId);
            const step = requestAllocation(state, demand, performance.now());
            const id = step.effects[0]?.allocation.id;
            if (id === undefined) {
                return undefined;
            }
            const held = new Promise<boolean>(resolve => waiting.set(id, resolve));
            applyStep(step);
            return await held ? id : undefined;
        },
        release: attempt => {
            requestIds.delete(attempt);
            applyStep(releaseAttempt(state, attempt, performance.now()));
        },
        listAlive: attempts => listAliveAttempts(state, attempts),
        countHeld: () => state.allocations.size,
        stop: () => clearInterval(tick),
    };
}

type SentEffect = Exclude<AllocationEffect, { type: "lost"; }>;

/** Sends a request to the engine and translates its answer. */
async function sendEffect(
    options: AllocationKeeperOptions,
    effect: SentEffect,
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
        return decodeAnswer(effect, allocation, status, sentAtMs);
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

function buildRequest(options: AllocationKeeperOptions, effect: SentEffect, requestId: string): EngineRequest {
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

const ABSENT_STATUSES: ReadonlySet<number> = new Set([404, 410]);

/** A status that says nothing about the allocation counts as a lost answer. */
function decodeAnswer(
    effect: SentEffect,
    { id }: OwnAllocation,
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
