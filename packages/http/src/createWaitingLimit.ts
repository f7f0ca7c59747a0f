/** A queue whose entries occupy memory while they wait. */
export interface WaitingQueue {
    /** Memory of the entries that wait, in bytes. */
    readonly waitingBytes: number;
}

export interface WaitingLimit<Queue> {
    /** Counts the memory of an entry that has been added. Returns the queue that occupies most if the limit is exceeded. */
    readonly add: (queue: Queue, bytes: number) => Queue | undefined;
    /** Counts the memory of entries that have been removed. */
    readonly remove: (queue: Queue, bytes: number) => void;
}

/** Limits the memory of the entries that wait in all queues together. */
export function createWaitingLimit<Queue extends WaitingQueue>(limitBytes: number): WaitingLimit<Queue> {
    const queues = new Set<Queue>();
    let totalBytes = 0;
    return {
        add: (queue, bytes) => {
            totalBytes += bytes;
            queues.add(queue);
            return totalBytes > limitBytes ? findLargest(queues) : undefined;
        },
        remove: (queue, bytes) => {
            totalBytes -= bytes;
            if (queue.waitingBytes === 0) {
                queues.delete(queue);
            }
        },
    };
}

function findLargest<Queue extends WaitingQueue>(queues: Iterable<Queue>): Queue | undefined {
    let largest: Queue | undefined;
    for (const queue of queues) {
        if (largest === undefined || queue.waitingBytes > largest.waitingBytes) {
            largest = queue;
        }
    }
    return largest;
}
