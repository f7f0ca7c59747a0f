export interface WaitingLimit<Queue> {
    /** Counts an entry that has been added to a queue. Returns the longest queue if the limit is exceeded. */
    readonly add: (queue: Queue) => Queue | undefined;
    /** Counts entries that have been removed from a queue. */
    readonly remove: (queue: Queue, count: number) => void;
}

/** Limits the number of entries that wait in all queues together. */
export function createWaitingLimit<Queue extends { readonly waiting: readonly unknown[]; }>(
    limit: number,
): WaitingLimit<Queue> {
    const queues = new Set<Queue>();
    let total = 0;
    return {
        add: queue => {
            total += 1;
            queues.add(queue);
            return total > limit ? findLongest(queues) : undefined;
        },
        remove: (queue, count) => {
            total -= count;
            if (queue.waiting.length === 0) {
                queues.delete(queue);
            }
        },
    };
}

function findLongest<Queue extends { readonly waiting: readonly unknown[]; }>(
    queues: Iterable<Queue>,
): Queue | undefined {
    let longest: Queue | undefined;
    for (const queue of queues) {
        if (longest === undefined || queue.waiting.length > longest.waiting.length) {
            longest = queue;
        }
    }
    return longest;
}
