/** Operations on the request queue of a host. Each returns a new queue. */
import type { RequestId } from "@currantrill/protocol";
import type { QueuedRequest, RequestQueue } from "../model/requestQueue.js";
import { rankPendingRequests } from "../queries/rankPendingRequests.js";

/**
 * Adds a request. The virtual time of a workspace without pending requests is raised to the lowest one among the
 * workspaces that have some, so that it gets no credit for the time in which it was idle.
 */
export function pushRequest(queue: RequestQueue, entry: QueuedRequest): RequestQueue {
    const isActive = queue.pendingRequests.some(other => other.workspace === entry.workspace);
    const lowest = queue.pendingRequests.reduce(
        (least, other) => Math.min(least, queue.virtualTimes.get(other.workspace) ?? 0),
        Infinity,
    );
    const current = queue.virtualTimes.get(entry.workspace) ?? 0;
    const virtualTimes = isActive || lowest === Infinity
        ? queue.virtualTimes
        : new Map(queue.virtualTimes).set(entry.workspace, Math.max(current, lowest));
    return { pendingRequests: [...queue.pendingRequests, entry], virtualTimes };
}

/** Removes a request that was refused, cancelled, expired or taken by `takeRequest`. */
export function dropRequest(queue: RequestQueue, request: RequestId): RequestQueue {
    return { ...queue, pendingRequests: queue.pendingRequests.filter(entry => entry.request !== request) };
}

/**
 * Takes the first request in queue order that `canSend` accepts, and advances the virtual time of its workspace.
 * `entry` is `undefined` and the queue unchanged if there is none.
 */
export function takeRequest(
    queue: RequestQueue,
    now: number,
    canSend: (entry: QueuedRequest) => boolean,
): { queue: RequestQueue; entry: QueuedRequest | undefined; } {
    const entry = rankPendingRequests(queue, now).find(canSend);
    if (entry === undefined) {
        return { queue, entry };
    }
    const virtualTimes = new Map(queue.virtualTimes);
    virtualTimes.set(entry.workspace, (virtualTimes.get(entry.workspace) ?? 0) + entry.tokens / entry.weight);
    return { queue: { ...dropRequest(queue, entry.request), virtualTimes }, entry };
}

/**
 * Removes the requests whose deadline is less than their estimated service time away, so that they can be refused
 * before their deadline. `estimateServiceMs` estimates the time from now to the end of the answer, in milliseconds.
 */
export function takeExpired(
    queue: RequestQueue,
    now: number,
    estimateServiceMs: (entry: QueuedRequest) => number,
): { queue: RequestQueue; expired: readonly QueuedRequest[]; } {
    const expired = queue.pendingRequests.filter(entry => now + estimateServiceMs(entry) > entry.deadlineMs);
    const remaining = queue.pendingRequests.filter(entry => !expired.includes(entry));
    return { queue: { ...queue, pendingRequests: remaining }, expired };
}
