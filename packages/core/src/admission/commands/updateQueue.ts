/** Changes of the queue of a host. */
import type { RequestId } from "@currantrill/protocol";
import type { QueuedRequest, RequestQueue } from "../model/requestQueue.js";
import { rankWaiting } from "../queries/rankWaiting.js";

/**
 * Adds a request. A workspace that had nothing waiting starts at the least served one that has, so that it cannot
 * claim the share of the time in which it was idle.
 */
export function pushRequest(queue: RequestQueue, entry: QueuedRequest): RequestQueue {
    const isActive = queue.waiting.some(other => other.workspace === entry.workspace);
    const floor = queue.waiting.reduce(
        (least, other) => Math.min(least, queue.served.get(other.workspace) ?? 0),
        Infinity,
    );
    const own = queue.served.get(entry.workspace) ?? 0;
    const served = isActive || floor === Infinity
        ? queue.served
        : new Map(queue.served).set(entry.workspace, Math.max(own, floor));
    return { waiting: [...queue.waiting, entry], served };
}

/** Removes a request that was refused, cancelled or has expired. */
export function dropRequest(queue: RequestQueue, request: RequestId): RequestQueue {
    return { ...queue, waiting: queue.waiting.filter(entry => entry.request !== request) };
}

/** Takes the next request that `canSend` accepts, and charges its workspace. */
export function takeRequest(
    queue: RequestQueue,
    now: number,
    canSend: (entry: QueuedRequest) => boolean,
): { queue: RequestQueue; entry: QueuedRequest | undefined; } {
    const entry = rankWaiting(queue, now).find(canSend);
    if (entry === undefined) {
        return { queue, entry };
    }
    const served = new Map(queue.served);
    served.set(entry.workspace, (served.get(entry.workspace) ?? 0) + entry.tokens / entry.weight);
    return { queue: { ...dropRequest(queue, entry.request), served }, entry };
}

/** Splits off the requests whose deadline leaves no time for an answer. They are refused while that is still in time. */
export function takeExpired(
    queue: RequestQueue,
    now: number,
    estimateServiceMs: (entry: QueuedRequest) => number,
): { queue: RequestQueue; expired: readonly QueuedRequest[]; } {
    const expired = queue.waiting.filter(entry => now + estimateServiceMs(entry) > entry.deadlineMs);
    const remaining = queue.waiting.filter(entry => !expired.includes(entry));
    return { queue: { ...queue, waiting: remaining }, expired };
}
