/** Queue of the prompts that wait for an engine: `p-queue` with the ordering and dispatch rules of the core. */
import {
    dropRequest,
    emptyRequestQueue,
    estimateQueueDelay,
    type LengthClass,
    lengthClasses,
    pushRequest,
    type RequestQueue,
    takeExpired,
    takeRequest,
} from "@currantrill/core";
import PQueue, { type Queue, type QueueAddOptions } from "p-queue";
import { CallerError } from "../../callers/model/callerError.js";
import { createQueueEntry, type PromptJob } from "./promptJob.js";

/**
 * Interval at which pending prompts are examined. Polling is needed because capacity on an engine also becomes free
 * with load reports and with the passing of time, not only when local work ends.
 */
const POLL_INTERVAL_MS = 20;

/** Queue of pending prompts, ordered by priority, length class, age and the work already served to their workspace. */
export interface PromptQueue {
    /**
     * Runs the task as soon as the prompt can be dispatched. Rejects with the error `overloaded` if the prompt can no
     * longer be answered before its deadline, and with the abort reason if its scope ends first.
     */
    run<T>(job: PromptJob, task: () => Promise<T>): Promise<T>;
    /** Counts the pending prompts by length class. */
    countPending(): Record<LengthClass, number>;
    /**
     * Estimates the wait in milliseconds behind the pending prompts of the same lane. `tokensPerSecond` is this host's
     * share of the lane's prefill rate.
     */
    estimateDelayMs(lengthClass: LengthClass, tokensPerSecond: number): number;
    /** Stops the polling of pending prompts. */
    stop(): void;
}

/** Routing decisions that the queue needs about pending prompts. */
export interface PromptQueueOptions {
    /**
     * Whether the prompt can be dispatched now. If not, the other prompts with the same key are skipped in this round.
     */
    canStart(job: PromptJob): boolean;
    /** Key shared by the prompts that routing treats alike: same workspace, model and length class. */
    getRoutingKey(job: PromptJob): string;
}

/** Options that `p-queue` passes through to `enqueue`. */
interface QueueEntryOptions extends QueueAddOptions {
    readonly job: PromptJob;
    /** Aborted to reject the prompt while it is pending. */
    readonly rejection: AbortController;
}

interface PendingPrompt extends QueueEntryOptions {
    readonly run: () => Promise<unknown>;
}

/** Creates an empty queue. It polls until `stop` is called. */
export function createPromptQueue(options: PromptQueueOptions): PromptQueue {
    const pendingPrompts = new PendingPromptQueue(options);
    const queue = new PQueue<PendingPromptQueue, QueueEntryOptions>({
        // `p-queue` calls `new queueClass()`; a constructor that returns an object makes it use that object.
        queueClass: function() {
            return pendingPrompts;
        } as unknown as new() => PendingPromptQueue,
    });
    const timer = setInterval(() => {
        if (pendingPrompts.isEmpty()) {
            return;
        }
        pendingPrompts.rejectExpired();
        // Assigning `concurrency` makes `p-queue` look for entries that can start.
        queue.concurrency = Infinity;
    }, POLL_INTERVAL_MS);
    return {
        run: async (job, task) => {
            const rejection = new AbortController();
            const abort = (): void => rejection.abort(job.scope.signal.reason);
            job.scope.signal.addEventListener("abort", abort, { once: true });
            try {
                job.scope.signal.throwIfAborted();
                return await queue.add(
                    () => {
                        job.scope.signal.removeEventListener("abort", abort);
                        return task();
                    },
                    { id: job.scope.requestId, signal: rejection.signal, job, rejection },
                );
            }
            finally {
                job.scope.signal.removeEventListener("abort", abort);
            }
        },
        countPending: () => pendingPrompts.countByLengthClass(),
        estimateDelayMs: (lengthClass, tokensPerSecond) => pendingPrompts.estimateDelayMs(lengthClass, tokensPerSecond),
        stop: () => clearInterval(timer),
    };
}

/**
 * Queue implementation for `p-queue`. Its `size` counts only a prompt that can start now, so that `p-queue` does not
 * dequeue anything while no engine has free capacity.
 */
class PendingPromptQueue implements Queue<() => Promise<unknown>, QueueEntryOptions> {
    readonly #options: PromptQueueOptions;
    readonly #pending = new Map<string, PendingPrompt>();
    #requestQueue: RequestQueue = emptyRequestQueue;
    /** Result of the latest `size`, which the following `dequeue` uses. */
    #nextResult: ReturnType<typeof takeRequest> | undefined;

    constructor(options: PromptQueueOptions) {
        this.#options = options;
    }

    get size(): number {
        this.#nextResult = this.#pending.size > 0 ? this.#takeNextEntry() : undefined;
        return this.#nextResult?.entry === undefined ? 0 : 1;
    }

    isEmpty(): boolean {
        return this.#pending.size === 0;
    }

    enqueue(run: () => Promise<unknown>, options?: Partial<QueueEntryOptions>): void {
        const { job, rejection } = options as QueueEntryOptions;
        this.#pending.set(job.scope.requestId, { job, rejection, run });
        this.#requestQueue = pushRequest(this.#requestQueue, createQueueEntry(job));
    }

    dequeue(): (() => Promise<unknown>) | undefined {
        const { queue, entry } = this.#nextResult ?? this.#takeNextEntry();
        this.#nextResult = undefined;
        if (entry === undefined) {
            return undefined;
        }
        this.#requestQueue = queue;
        const entryToRun = this.#pending.get(entry.request);
        this.#pending.delete(entry.request);
        return entryToRun?.run;
    }

    remove(id: string): void {
        const prompt = this.#pending.get(id);
        if (prompt !== undefined) {
            this.#pending.delete(id);
            this.#requestQueue = dropRequest(this.#requestQueue, prompt.job.scope.requestId);
        }
    }

    // eslint-disable-next-line @typescript-eslint/naming-convention -- `p-queue` defines the name
    filter(): (() => Promise<unknown>)[] {
        return [...this.#pending.values()].map(prompt => prompt.run);
    }

    setPriority(): void {
        throw new Error("setPriority is not supported: priority, length class, age and workspace determine the order");
    }

    /** Rejects the prompts that can no longer be answered before their deadline. */
    rejectExpired(): void {
        const { queue, expired } = takeExpired(
            this.#requestQueue,
            performance.now(),
            entry => this.#pending.get(entry.request)?.job.idleServiceMs ?? 0,
        );
        this.#requestQueue = queue;
        expired.forEach(entry => this.#pending.get(entry.request)?.rejection.abort(new CallerError("overloaded")));
    }

    countByLengthClass(): Record<LengthClass, number> {
        const counts = Object.fromEntries(lengthClasses.map(name => [name, 0])) as Record<LengthClass, number>;
        this.#requestQueue.pendingRequests.forEach(entry => {
            counts[entry.lengthClass] += 1;
        });
        return counts;
    }

    estimateDelayMs(lengthClass: LengthClass, tokensPerSecond: number): number {
        return estimateQueueDelay(this.#requestQueue, lengthClass, tokensPerSecond);
    }

    #takeNextEntry(): ReturnType<typeof takeRequest> {
        const blockedKeys = new Set<string>();
        return takeRequest(this.#requestQueue, performance.now(), entry => {
            const job = this.#pending.get(entry.request)?.job;
            if (job === undefined || blockedKeys.has(this.#options.getRoutingKey(job))) {
                return false;
            }
            if (this.#options.canStart(job)) {
                return true;
            }
            blockedKeys.add(this.#options.getRoutingKey(job));
            return false;
        });
    }
}
