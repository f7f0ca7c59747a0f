import { isLongClass, type LengthClass } from "../../model/lengthClass.js";
import type { RequestQueue } from "../model/requestQueue.js";

/**
 * Estimates the time in the host's queue behind the pending requests of the same lane, in milliseconds.
 * `tokensPerSecond` is this host's share of the lane's prefill rate.
 */
export function estimateQueueDelay(queue: RequestQueue, lengthClass: LengthClass, tokensPerSecond: number): number {
    const isLong = isLongClass(lengthClass);
    const tokens = queue.pendingRequests
        .filter(entry => isLongClass(entry.lengthClass) === isLong)
        .reduce((sum, entry) => sum + entry.tokens, 0);
    return tokens / tokensPerSecond * 1_000;
}
