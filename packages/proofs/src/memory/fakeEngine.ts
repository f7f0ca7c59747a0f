/** In-memory fake of a model engine's memory. It knows no hosts or leases and executes every request it receives. */
import type { HeldAllocation } from "@currantrill/protocol";
import type { HistoryRecorder } from "../model/history.js";
import type { FaultPlan } from "../simulation/faults.js";
import type { HostProcess } from "../simulation/hostProcess.js";
import type { Random } from "../simulation/random.js";
import type { Timeline } from "../simulation/timeline.js";

/** An allocation of memory, measured in tokens, that expires unless it is renewed within `ttlMs`. */
export interface EngineRequest {
    readonly id: string;
    readonly owner: string;
    readonly tokens: number;
    readonly ttlMs: number;
}

/** `absent` means that the engine does not hold the allocation. */
type EngineAnswer = "done" | "refused" | "absent";

/** The engine as a host sees it through its connections. */
export interface FakeEngine {
    readonly allocate: EngineCall<EngineRequest, EngineAnswer>;
    readonly renew: EngineCall<EngineRequest, EngineAnswer>;
    readonly release: EngineCall<{ readonly id: string; readonly bySweeper: boolean; }, EngineAnswer>;
    readonly list: EngineCall<undefined, readonly HeldAllocation[]>;
}

/** A request whose answer is `lost` if none arrives before the client's time-out. */
type EngineCall<Request, Answer> = (
    process: HostProcess,
    request: Request,
    done: (answer: Answer | "lost") => void,
) => void;

export interface EngineContext {
    readonly timeline: Timeline;
    readonly faults: FaultPlan;
    readonly random: Random;
    readonly recorder: HistoryRecorder;
}

export interface EngineOptions {
    readonly name: string;
    readonly capacityTokens: number;
    /** Whether the engine reports a time to live but never expires allocations. */
    readonly ignoresTtl: boolean;
}

const CLIENT_TIMEOUT_MS = 1_000;
const MAX_SLOW_DELAY_MS = 20_000;

interface EngineAllocation {
    readonly request: EngineRequest;
    readonly expiresAtMs: number;
}

export function createFakeEngine(context: EngineContext, options: EngineOptions): FakeEngine {
    const held = new Map<string, EngineAllocation>();
    const { timeline, recorder } = context;
    const record = (
        allocation: string,
        tokens: number,
        cause: "allocated" | "expired" | "releasedByOwner" | "releasedBySweeper",
    ) => recorder.record({ type: "held", standin: options.name, allocation, tokens, cause });
    const scheduleExpiry = (id: string): void => {
        const entry = held.get(id);
        if (entry === undefined || options.ignoresTtl) {
            return;
        }
        timeline.schedule(entry.expiresAtMs - timeline.getNowMs(), () => {
            const current = held.get(id);
            if (current !== undefined && current.expiresAtMs <= timeline.getNowMs()) {
                held.delete(id);
                record(id, 0, "expired");
            }
        });
    };
    const hold = (request: EngineRequest): void => {
        held.set(request.id, { request, expiresAtMs: timeline.getNowMs() + request.ttlMs });
        scheduleExpiry(request.id);
    };
    const allocate = (request: EngineRequest): EngineAnswer => {
        const usedTokens = [...held.values()].reduce((sum, entry) => sum + entry.request.tokens, 0);
        if (usedTokens + request.tokens > options.capacityTokens) {
            return "refused";
        }
        hold(request);
        record(request.id, request.tokens, "allocated");
        return "done";
    };
    const renew = (request: EngineRequest): EngineAnswer => {
        if (!held.has(request.id)) {
            return "absent";
        }
        hold(request);
        return "done";
    };
    const release = ({ id, bySweeper }: { id: string; bySweeper: boolean; }): EngineAnswer => {
        if (!held.delete(id)) {
            return "absent";
        }
        record(id, 0, bySweeper ? "releasedBySweeper" : "releasedByOwner");
        return "done";
    };
    const list = (): HeldAllocation[] =>
        [...held.values()].map(({ request, expiresAtMs }) => ({
            allocation_id: request.id,
            request_id: request.id,
            owner: request.owner,
            tokens: request.tokens,
            remaining_ms: Math.max(0, expiresAtMs - timeline.getNowMs()),
        }));
    return {
        allocate: (process, request, done) => sendToEngine(context, process, () => allocate(request), done),
        renew: (process, request, done) => sendToEngine(context, process, () => renew(request), done),
        release: (process, request, done) => sendToEngine(context, process, () => release(request), done),
        list: (process, _request, done) => sendToEngine(context, process, list, done),
    };
}

/** Sends one request to the engine. `done` is called exactly once, unless the process ends first. */
function sendToEngine<T>(
    { timeline, faults, random }: EngineContext,
    process: HostProcess,
    execute: () => T,
    done: (answer: T | "lost") => void,
): void {
    let pending = true;
    const finish = (answer: T | "lost"): void => {
        if (pending) {
            pending = false;
            done(answer);
        }
    };
    process.setTimer(CLIENT_TIMEOUT_MS, () => finish("lost"));
    if (faults.isActive("endpointDown") || faults.isActive("cutFromEndpoint", process.index)) {
        return;
    }
    const slowMs = faults.isActive("endpointSlow") ? random.sample(0, MAX_SLOW_DELAY_MS) : 0;
    timeline.schedule(random.sample(1, 5) + slowMs, () => {
        const answer = execute();
        if (!faults.isActive("endpointLosesAnswers") && !faults.isActive("cutFromEndpoint", process.index)) {
            timeline.schedule(random.sample(1, 5), () => process.deliver(() => finish(answer)));
        }
    });
}
