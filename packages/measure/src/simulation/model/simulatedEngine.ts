/**
 * Simulates an engine in virtual time: continuous batching with chunked prefill, slots, memory, priorities and a prefix
 * cache.
 */
import type { CacheEvent, EndpointId, FailureDomainId, PoolId } from "@currantrill/protocol";
import { ENGINE } from "../../model/scenario.js";
import type { EventQueue } from "./eventQueue.js";

/** Work of one attempt on an engine. */
export interface EngineJob {
    readonly id: string;
    /** Jobs with a higher priority are started and prefilled first. */
    readonly priority: number;
    /** Memory that the job takes when it starts; 0 if an allocation already holds it. */
    readonly memoryTokens: number;
    readonly outputTokens: number;
    readonly prefixHash: string;
    readonly prefixTokens: number;
    /** Prompt tokens that are still to be prefilled. */
    prefillTokens: number;
    readonly onFirstToken: () => void;
    readonly onEnd: () => void;
    readonly onFail: () => void;
}

/** One simulated engine with the figures of `ENGINE`. */
export class SimulatedEngine {
    alive = true;
    /** Memory in use, in tokens. */
    memoryUsed = 0;
    /** Time of prefill and decode work so far, without the idle time of steps of the minimum duration. */
    busyMs = 0;
    /** All events of the prefix cache since the start; the sequence number of an event is its index plus 1. */
    readonly cacheEvents: CacheEvent[] = [];
    private pendingJobs: EngineJob[] = [];
    private prefillingJobs: EngineJob[] = [];
    /** Started jobs whose prefill is complete, with the number of output tokens that are still to be decoded. */
    private decodingJobs: { job: EngineJob; remainingTokens: number; }[] = [];
    /** Tokens of each cached prefix, by prefix hash, in the order of use. */
    private readonly cache = new Map<string, number>();
    /** Memory tokens that gangs have reserved, by request. */
    private readonly allocations = new Map<string, number>();
    private isStepping = false;

    constructor(
        private readonly events: EventQueue,
        readonly endpoint: EndpointId,
        readonly failureDomain: FailureDomainId,
        readonly pool: PoolId,
    ) {}

    get queuedPrefillTokens(): number {
        return [...this.pendingJobs, ...this.prefillingJobs].reduce((sum, job) => sum + job.prefillTokens, 0);
    }

    get runningRequests(): number {
        return this.pendingJobs.length + this.prefillingJobs.length + this.decodingJobs.length;
    }

    /** Accepts a job. A job on a dead engine fails immediately. */
    accept(job: EngineJob): void {
        if (!this.alive) {
            job.onFail();
            return;
        }
        const cached = job.prefixTokens > 0 && this.cache.has(job.prefixHash);
        job.prefillTokens = Math.max(1, job.prefillTokens - (cached ? job.prefixTokens : 0));
        this.pendingJobs.push(job);
        this.pendingJobs.sort((a, b) => b.priority - a.priority);
        this.startStep();
    }

    /** Cancels a job, without a callback. */
    cancel(id: string): void {
        const isOther = (job: EngineJob): boolean => job.id !== id;
        const startedJobs = [...this.prefillingJobs, ...this.decodingJobs.map(entry => entry.job)].filter(job =>
            !isOther(job)
        );
        this.memoryUsed -= startedJobs.reduce((sum, job) => sum + job.memoryTokens, 0);
        this.pendingJobs = this.pendingJobs.filter(isOther);
        this.prefillingJobs = this.prefillingJobs.filter(isOther);
        this.decodingJobs = this.decodingJobs.filter(entry => isOther(entry.job));
        this.startStep();
    }

    /** Reserves memory for a gang. Returns `false` if there is not enough free memory. */
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

    /** Kills the engine permanently. Its jobs fail. */
    kill(): void {
        const jobs = [...this.pendingJobs, ...this.prefillingJobs, ...this.decodingJobs.map(entry => entry.job)];
        this.alive = false;
        this.pendingJobs = [];
        this.prefillingJobs = [];
        this.decodingJobs = [];
        jobs.forEach(job => job.onFail());
    }

    /** Starts the next step of the batch, unless one is running or there is nothing to do. */
    private startStep(): void {
        if (this.isStepping || !this.alive) {
            return;
        }
        if (this.pendingJobs.length > 0) {
            this.admitPending();
        }
        if (this.prefillingJobs.length + this.decodingJobs.length === 0) {
            return;
        }
        let budget: number = ENGINE.chunkTokens;
        const stepPrefillTokens = new Map<EngineJob, number>();
        for (const job of this.prefillingJobs) {
            const tokens = Math.min(budget, job.prefillTokens);
            stepPrefillTokens.set(job, tokens);
            budget -= tokens;
        }
        const prefillMs = (ENGINE.chunkTokens - budget) / ENGINE.prefillTokensPerSecond * 1_000;
        const durationMs = Math.max(ENGINE.stepMs, prefillMs) + this.decodingJobs.length * ENGINE.decodeMsPerStream;
        this.isStepping = true;
        const decodedJobs = [...this.decodingJobs];
        this.events.schedule(durationMs, () => {
            this.isStepping = false;
            if (this.alive) {
                this.busyMs += prefillMs + decodedJobs.length * ENGINE.decodeMsPerStream;
                this.finishStep(stepPrefillTokens, decodedJobs);
                this.startStep();
            }
        });
    }

    /**
     * Starts pending jobs in the order of their priorities while the step has prefill tokens left for them, until there
     * is no free slot or not enough memory. A job with an allocation already has its memory. It overtakes jobs that
     * wait for memory, because they may wait for the memory that it holds.
     */
    private admitPending(): void {
        let isMemoryExhausted = false;
        const stillPending: EngineJob[] = [];
        for (const job of this.pendingJobs) {
            const hasSlot = this.prefillingJobs.length + this.decodingJobs.length < ENGINE.slots;
            const isWithinStep = this.countTokensAhead(job) < ENGINE.chunkTokens;
            isMemoryExhausted ||= job.memoryTokens > 0 && this.memoryUsed + job.memoryTokens > ENGINE.memoryTokens;
            if (!hasSlot || !isWithinStep || (isMemoryExhausted && job.memoryTokens > 0)) {
                stillPending.push(job);
                continue;
            }
            this.memoryUsed += job.memoryTokens;
            this.prefillingJobs.push(job);
            this.prefillingJobs.sort((a, b) => b.priority - a.priority);
        }
        this.pendingJobs = stillPending;
    }

    /** Counts the prefill tokens of started jobs that are prefilled before the job. */
    private countTokensAhead(job: EngineJob): number {
        return this.prefillingJobs.reduce(
            (sum, other) => sum + (other.priority >= job.priority ? other.prefillTokens : 0),
            0,
        );
    }

    private finishStep(
        stepPrefillTokens: ReadonlyMap<EngineJob, number>,
        decodedJobs: readonly { job: EngineJob; remainingTokens: number; }[],
    ): void {
        for (const entry of decodedJobs) {
            entry.remainingTokens -= 1;
        }
        const completedJobs = this.decodingJobs.filter(entry => entry.remainingTokens <= 0);
        this.decodingJobs = this.decodingJobs.filter(entry => entry.remainingTokens > 0);
        for (const { job } of completedJobs) {
            this.memoryUsed -= job.memoryTokens;
            job.onEnd();
        }
        for (const [job, tokens] of stepPrefillTokens) {
            job.prefillTokens -= tokens;
        }
        const prefilledJobs = this.prefillingJobs.filter(job => job.prefillTokens <= 0);
        this.prefillingJobs = this.prefillingJobs.filter(job => job.prefillTokens > 0);
        for (const job of prefilledJobs) {
            this.addToCache(job);
            this.decodingJobs.push({ job, remainingTokens: job.outputTokens - 1 });
            job.onFirstToken();
        }
    }

    /** Adds the prefix of a job to the cache as the most recently used one, and evicts the least recently used ones. */
    private addToCache(job: EngineJob): void {
        if (job.prefixTokens === 0) {
            return;
        }
        const isNew = !this.cache.delete(job.prefixHash);
        this.cache.set(job.prefixHash, job.prefixTokens);
        if (isNew) {
            this.recordCacheEvent("stored", job.prefixHash, job.prefixTokens);
        }
        let usedTokens = [...this.cache.values()].reduce((sum, tokens) => sum + tokens, 0);
        for (const [hash, tokens] of this.cache) {
            if (usedTokens <= ENGINE.cacheTokens) {
                return;
            }
            this.cache.delete(hash);
            usedTokens -= tokens;
            this.recordCacheEvent("evicted", hash, tokens);
        }
    }

    private recordCacheEvent(action: CacheEvent["action"], prefixHash: string, tokens: number): void {
        this.cacheEvents.push({ sequence: this.cacheEvents.length + 1, action, prefix_hash: prefixHash, tokens });
    }
}
