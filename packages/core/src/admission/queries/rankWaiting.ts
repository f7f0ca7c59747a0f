import type { Priority } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";
import type { QueuedRequest, RequestQueue } from "../model/requestQueue.js";

const PRIORITY_RANK: Record<Priority, number> = { interactive: 0, standard: 1, batch: 3 };
const CLASS_RANK: Record<LengthClass, number> = { short: 0, medium: 1, long: 2, huge: 3 };
/** Waiting time that makes up for one rank of priority or class, so that nothing starves. */
const AGEING_MS = 5_000;

/** Orders the waiting requests: rank less ageing, then least served workspace, then arrival. */
export function rankWaiting(queue: RequestQueue, now: number): QueuedRequest[] {
    const rank = (entry: QueuedRequest): number =>
        PRIORITY_RANK[entry.priority] + CLASS_RANK[entry.lengthClass]
        - Math.floor((now - entry.enqueuedAtMs) / AGEING_MS);
    const served = (entry: QueuedRequest): number => queue.served.get(entry.workspace) ?? 0;
    return queue.waiting
        .filter(entry => entry.notBeforeMs <= now)
        .sort((a, b) => rank(a) - rank(b) || served(a) - served(b) || a.enqueuedAtMs - b.enqueuedAtMs);
}
