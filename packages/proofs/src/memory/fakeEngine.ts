/** Memory of a model engine. It does not know hosts or leases: it carries out every request that reaches it. */
import type { HeldAllocation } from "@currantrill/protocol";
import type { HistoryRecorder } from "../model/history.js";
import type { FaultPlan } from "../simulation/faults.js";
import type { HostProcess } from "../simulation/hostProcess.js";
import type { Random } from "../simulation/random.js";
import type { Timeline } from "../simulation/timeline.js";

export interface EngineRequest {
    readonly id: string;
    readonly owner: string;
    readonly tokens: number;
    readonly ttlMs: number;
}

type EngineAnswer = "done" | "refused" | "absent";

export interface FakeEngine {
    readonly allocate: EngineCall<EngineRequest, EngineAnswer>;
    readonly renew: EngineCall<EngineRequest, EngineAnswer>;
    readonly release: EngineCall<{ readonly id: string; readonly bySweeper: boolean; }, EngineAnswer>;
    readonly list: EngineCall<undefined, readonly HeldAllocation[]>;
}

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
    /** Counts the time to live down and does not drop the allocation at its end. */
    readonly ignoresTtl: boolean;
}

const CLIENT_TIMEOUT_MS = 1_000;
const SLOW_MAX_MS = 20_000;

interface Held {
    readonly request: EngineRequest;
    readonly expiresAtMs: number;
}

export function createFakeEngine(context: EngineContext, options: EngineOptions): FakeEngine {
    const held = new Map<string, Held>();
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

/** One request to the engine and its answer. */
function sendToEngine<T>(
    { timeline, faults, random }: EngineContext,
    process: HostProcess,
    execute: () => T,
    done: (answer: T | "lost") => void,
): void {
    let waiting = true;
    const settle = (answer: T | "lost"): void => {
        if (waiting) {
            waiting = false;
            done(answer);
        }
    };
    process.setTimer(CLIENT_TIMEOUT_MS, () => settle("lost"));
    if (faults.isActive("endpointDown") || faults.isActive("cutFromEndpoint", process.index)) {
        return;
    }
    const slowMs = faults.isActive("endpointSlow") ? random.sample(0, SLOW_MAX_MS) : 0;
    timeline.schedule(random.sample(1, 5) + slowMs, () => {
        const answer = execute();
        if (!faults.isActive("endpointLosesAnswers") && !faults.isActive("cutFromEndpoint", process.index)) {
            timeline.schedule(random.sample(1, 5), () => process.deliver(() => settle(answer)));
        }
    });
}
