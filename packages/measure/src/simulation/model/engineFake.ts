/** A small engine: continuous batching with chunked prefill, slots, memory, priorities and a prefix cache. */
import type { CacheEvent, EndpointId, FailureDomainId, PoolId } from "@currantrill/protocol";
import { ENGINE } from "../../model/scenario.js";
import type { EventQueue } from "./eventQueue.js";

export interface EngineJob {
    readonly id: string;
    readonly priority: number;
    /** Memory that the job takes when it starts; 0 if an allocation holds it. */
    readonly memoryTokens: number;
    readonly outputTokens: number;
    readonly prefixHash: string;
    readonly prefixTokens: number;
    prefillTokens: number;
    readonly onFirstToken: () => void;
    readonly onEnd: () => void;
    readonly onFail: () => void;
}

export class EngineFake {
    alive = true;
    memoryUsed = 0;
    busyMs = 0;
    readonly cacheEvents: CacheEvent[] = [];
    private waiting: EngineJob[] = [];
    private prefilling: EngineJob[] = [];
    private decoding: { job: EngineJob; remaining: number; }[] = [];
    private readonly cache = new Map<string, number>();
    private readonly allocations = new Map<string, number>();
    private stepping = false;

    constructor(
        private readonly events: EventQueue,
        readonly endpoint: EndpointId,
        readonly failureDomain: FailureDomainId,
        readonly pool: PoolId,
    ) {}

    get queuedPrefillTokens(): number {
        return [...this.waiting, ...this.prefilling].reduce((sum, job) => sum + job.prefillTokens, 0);
    }

    get runningRequests(): number {
        return this.waiting.length + this.prefilling.length + this.decoding.length;
    }

    /** Takes a job. A dead engine fails it at once. */
    accept(job: EngineJob): void {
        if (!this.alive) {
            job.onFail();
            return;
        }
        const cached = job.prefixTokens > 0 && this.cache.has(job.prefixHash);
        job.prefillTokens = Math.max(1, job.prefillTokens - (cached ? job.prefixTokens : 0));
        this.waiting.push(job);
        this.waiting.sort((a, b) => b.priority - a.priority);
        this.startStep();
    }

    /** Ends a job without a further callback. */
    cancel(id: string): void {
        const isOther = (job: EngineJob): boolean => job.id !== id;
        const held = [...this.prefilling, ...this.decoding.map(entry => entry.job)].filter(job => !isOther(job));
        this.memoryUsed -= held.reduce((sum, job) => sum + job.memoryTokens, 0);
        this.waiting = this.waiting.filter(isOther);
        this.prefilling = this.prefilling.filter(isOther);
        this.decoding = this.decoding.filter(entry => isOther(entry.job));
        this.startStep();
    }

    /** Reserves memory for a gang. Returns whether there was enough. */
    reserve(id: string, tokens: number): boolean {
        if (!this.alive || this.memoryUsed + tokens > ENGINE.memoryTokens) {
            return false;
        }
        this.memoryUsed += tokens;
        this.allocations.set(id, tokens);
        return true;
    }

    release(id: string): void {
        this.memoryUsed -= this.allocations.get(id) ?? 0;
        this.allocations.delete(id);
        this.startStep();
    }

    /** Kills the engine for good. Its jobs fail. */
    kill(): void {
        const jobs = [...this.waiting, ...this.prefilling, ...this.decoding.map(entry => entry.job)];
        this.alive = false;
        this.waiting = [];
        this.prefilling = [];
        this.decoding = [];
        jobs.forEach(job => job.onFail());
    }

    private startStep(): void {
        if (this.stepping || !this.alive) {
            return;
        }
        if (this.waiting.length > 0) {
            this.startWaiting();
        }
        if (this.prefilling.length + this.decoding.length === 0) {
            return;
        }
        let budget: number = ENGINE.chunkTokens;
        const taken = new Map<EngineJob, number>();
        for (const job of this.prefilling) {
            const tokens = Math.min(budget, job.prefillTokens);
            taken.set(job, tokens);
            budget -= tokens;
        }
        const prefillMs = (ENGINE.chunkTokens - budget) / ENGINE.prefillTokensPerSecond * 1_000;
        const durationMs = Math.max(ENGINE.stepMs, prefillMs) + this.decoding.length * ENGINE.decodeMsPerStream;
        this.stepping = true;
        const decoders = [...this.decoding];
        this.events.schedule(durationMs, () => {
            this.stepping = false;
            if (this.alive) {
                this.busyMs += prefillMs + decoders.length * ENGINE.decodeMsPerStream;
                this.finishStep(taken, decoders);
                this.startStep();
            }
        });
    }

    /**
     * Starts waiting jobs in the order of their priorities while the step has tokens left for them, until one finds no
     * slot or memory. A job with an allocation has its memory already and overtakes jobs that wait for memory, which
     * may be the memory that it holds.
     */
    private startWaiting(): void {
        let memoryIsShort = false;
        const remaining: EngineJob[] = [];
        for (const job of this.waiting) {
            const hasSlot = this.prefilling.length + this.decoding.length < ENGINE.slots;
            const hasTurn = this.countTokensAhead(job) < ENGINE.chunkTokens;
            memoryIsShort ||= job.memoryTokens > 0 && this.memoryUsed + job.memoryTokens > ENGINE.memoryTokens;
            if (!hasSlot || !hasTurn || (memoryIsShort && job.memoryTokens > 0)) {
                remaining.push(job);
                continue;
            }
            this.memoryUsed += job.memoryTokens;
            this.prefilling.push(job);
            this.prefilling.sort((a, b) => b.priority - a.priority);
        }
        this.waiting = remaining;
    }

    /** Prefill tokens of started jobs that run before the job. */
    private countTokensAhead(job: EngineJob): number {
        return this.prefilling.reduce(
            (sum, other) => sum + (other.priority >= job.priority ? other.prefillTokens : 0),
            0,
        );
    }

    private finishStep(
        taken: ReadonlyMap<EngineJob, number>,
        decoders: readonly { job: EngineJob; remaining: number; }[],
    ): void {
        for (const entry of decoders) {
            entry.remaining -= 1;
        }
        const ended = this.decoding.filter(entry => entry.remaining <= 0);
        this.decoding = this.decoding.filter(entry => entry.remaining > 0);
        for (const { job } of ended) {
            this.memoryUsed -= job.memoryTokens;
            job.onEnd();
        }
        for (const [job, tokens] of taken) {
            job.prefillTokens -= tokens;
        }
        const finished = this.prefilling.filter(job => job.prefillTokens <= 0);
        this.prefilling = this.prefilling.filter(job => job.prefillTokens > 0);
        for (const job of finished) {
            this.addToCache(job);
            this.decoding.push({ job, remaining: job.outputTokens - 1 });
            job.onFirstToken();
        }
    }

    private addToCache(job: EngineJob): void {
        if (job.prefixTokens === 0) {
            return;
        }
        const isNew = !this.cache.delete(job.prefixHash);
        this.cache.set(job.prefixHash, job.prefixTokens);
        if (isNew) {
            this.recordCacheEvent("stored", job.prefixHash, job.prefixTokens);
        }
        let used = [...this.cache.values()].reduce((sum, tokens) => sum + tokens, 0);
        for (const [hash, tokens] of this.cache) {
            if (used <= ENGINE.cacheTokens) {
                return;
            }
            this.cache.delete(hash);
            used -= tokens;
            this.recordCacheEvent("evicted", hash, tokens);
        }
    }

    private recordCacheEvent(action: CacheEvent["action"], prefixHash: string, tokens: number): void {
        this.cacheEvents.push({ sequence: this.cacheEvents.length + 1, action, prefix_hash: prefixHash, tokens });
    }
}
