/** Queue of the prompts that wait for an engine: `p-queue` with the order and admission of the core. */
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

/** Room on an engine opens with reports and ages, not only with an end of own work, so waiting prompts are looked at this often. */
const TICK_MS = 20;

export interface PromptQueue {
    /** Runs the task when the core lets the prompt go. Rejects if the prompt cannot be answered in time any more. */
    run<T>(job: PromptJob, task: () => Promise<T>): Promise<T>;
    countWaiting(): Record<LengthClass, number>;
    /** Expected wait behind the prompts of the same lane, in milliseconds, if the host may use that part of its rate. */
    estimateDelayMs(lengthClass: LengthClass, tokensPerSecond: number): number;
    stop(): void;
}

export interface PromptQueueOptions {
    /** Whether the prompt may be sent now. A refusal holds for the other prompts with the same `getKind`. */
    canStart(job: PromptJob): boolean;
    getKind(job: PromptJob): string;
}

interface EntryOptions extends QueueAddOptions {
    readonly job: PromptJob;
    readonly refusal: AbortController;
}

interface WaitingPrompt extends EntryOptions {
    readonly run: () => Promise<unknown>;
}

/** Creates an empty queue. */
export function createPromptQueue(options: PromptQueueOptions): PromptQueue {
    const order = new PromptOrder(options);
    const queue = new PQueue<PromptOrder, EntryOptions>({
        // `p-queue` constructs its queue itself; a constructor may return another object.
        queueClass: function() {
            return order;
        } as unknown as new() => PromptOrder,
    });
    const tick = setInterval(() => {
        if (order.isEmpty()) {
            return;
        }
        order.refuseExpired();
        // Setting the concurrency makes the queue look for work that may start.
        queue.concurrency = Infinity;
    }, TICK_MS);
    return {
        run: async (job, task) => {
            const refusal = new AbortController();
            const abort = (): void => refusal.abort(job.scope.signal.reason);
            job.scope.signal.addEventListener("abort", abort, { once: true });
            try {
                job.scope.signal.throwIfAborted();
                return await queue.add(
                    () => {
                        job.scope.signal.removeEventListener("abort", abort);
                        return task();
                    },
                    { id: job.scope.requestId, signal: refusal.signal, job, refusal },
                );
            }
            finally {
                job.scope.signal.removeEventListener("abort", abort);
            }
        },
        countWaiting: () => order.countWaiting(),
        estimateDelayMs: (lengthClass, tokensPerSecond) => order.estimateDelayMs(lengthClass, tokensPerSecond),
        stop: () => clearInterval(tick),
    };
}

/** Order of the waiting prompts. Its size counts only what may start now, so that `p-queue` waits for room. */
class PromptOrder implements Queue<() => Promise<unknown>, EntryOptions> {
    readonly #options: PromptQueueOptions;
    readonly #waiting = new Map<string, WaitingPrompt>();
    #queue: RequestQueue = emptyRequestQueue;
    /** What `size` found, for the `dequeue` that follows it. */
    #next: ReturnType<typeof takeRequest> | undefined;

    constructor(options: PromptQueueOptions) {
        this.#options = options;
    }

    get size(): number {
        this.#next = this.#waiting.size > 0 ? this.#takeNext() : undefined;
        return this.#next?.entry === undefined ? 0 : 1;
    }

    isEmpty(): boolean {
        return this.#waiting.size === 0;
    }

    // eslint-disable-next-line @typescript-eslint/naming-convention -- the name is p-queue's
    enqueue(run: () => Promise<unknown>, options?: Partial<EntryOptions>): void {
        const { job, refusal } = options as EntryOptions;
        this.#waiting.set(job.scope.requestId, { job, refusal, run });
        this.#queue = pushRequest(this.#queue, createQueueEntry(job));
    }

    // eslint-disable-next-line @typescript-eslint/naming-convention -- the name is p-queue's
    dequeue(): (() => Promise<unknown>) | undefined {
        const { queue, entry } = this.#next ?? this.#takeNext();
        this.#next = undefined;
        if (entry === undefined) {
            return undefined;
        }
        this.#queue = queue;
        const waiting = this.#waiting.get(entry.request);
        this.#waiting.delete(entry.request);
        return waiting?.run;
    }

    remove(id: string): void {
        const waiting = this.#waiting.get(id);
        if (waiting !== undefined) {
            this.#waiting.delete(id);
            this.#queue = dropRequest(this.#queue, waiting.job.scope.requestId);
        }
    }

    // eslint-disable-next-line @typescript-eslint/naming-convention -- the name is p-queue's
    filter(): (() => Promise<unknown>)[] {
        return [...this.#waiting.values()].map(waiting => waiting.run);
    }

    setPriority(): void {
        throw new Error("the order of waiting prompts follows from their age, class and workspace");
    }

    /** Refuses the prompts that cannot be answered before their deadline any more. */
    refuseExpired(): void {
        const { queue, expired } = takeExpired(
            this.#queue,
            performance.now(),
            entry => this.#waiting.get(entry.request)?.job.serviceMs ?? 0,
        );
        this.#queue = queue;
        expired.forEach(entry => this.#waiting.get(entry.request)?.refusal.abort(new CallerError("overloaded")));
    }

    countWaiting(): Record<LengthClass, number> {
        const counts = Object.fromEntries(lengthClasses.map(name => [name, 0])) as Record<LengthClass, number>;
        this.#queue.waiting.forEach(entry => {
            counts[entry.lengthClass] += 1;
        });
        return counts;
    }

    estimateDelayMs(lengthClass: LengthClass, tokensPerSecond: number): number {
        return estimateQueueDelay(this.#queue, lengthClass, tokensPerSecond);
    }

    #takeNext(): ReturnType<typeof takeRequest> {
        const refused = new Set<string>();
        return takeRequest(this.#queue, performance.now(), entry => {
            const job = this.#waiting.get(entry.request)?.job;
            if (job === undefined || refused.has(this.#options.getKind(job))) {
                return false;
            }
            if (this.#options.canStart(job)) {
                return true;
            }
            refused.add(this.#options.getKind(job));
            return false;
        });
    }
}
