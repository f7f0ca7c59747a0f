import type { Priority } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";
import type { QueuedRequest, RequestQueue } from "../model/requestQueue.js";

const PRIORITY_RANK: Record<Priority, number> = { interactive: 0, standard: 1, batch: 3 };
const CLASS_RANK: Record<LengthClass, number> = { short: 0, medium: 1, long: 2, huge: 3 };
/** Time in the queue that improves the rank of a request by one, so that no request starves. */
const AGEING_INTERVAL_MS = 5_000;

/**
 * Orders the pending requests whose backoff has passed: by the ranks of priority and length class added up, minus one
 * for each `AGEING_INTERVAL_MS` in the queue, then by the virtual time of the workspace, then by arrival.
 */
export function rankPendingRequests(queue: RequestQueue, now: number): QueuedRequest[] {
    const rank = (entry: QueuedRequest): number =>
        PRIORITY_RANK[entry.priority] + CLASS_RANK[entry.lengthClass]
        - Math.floor((now - entry.enqueuedAtMs) / AGEING_INTERVAL_MS);
    const getVirtualTime = (entry: QueuedRequest): number => queue.virtualTimes.get(entry.workspace) ?? 0;
    return queue.pendingRequests
        .filter(entry => entry.notBeforeMs <= now)
        .sort((a, b) => rank(a) - rank(b) || getVirtualTime(a) - getVirtualTime(b) || a.enqueuedAtMs - b.enqueuedAtMs);
}
