interface ScheduledEvent {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
}

/**
 * Event queue of a discrete-event simulation, as a binary heap. Events run in the order of their times; those of the
 * same time run in the order in which they were scheduled.
 */
export class EventQueue {
    /** Current virtual time in milliseconds. */
    now = 0;
    private order = 0;
    private readonly heap: ScheduledEvent[] = [];

    /** Schedules `run` after `delayMs`; a negative delay counts as 0. */
    schedule(delayMs: number, run: () => void): void {
        const event = { atMs: this.now + Math.max(0, delayMs), order: this.order++, run };
        const heap = this.heap;
        let position = heap.push(event) - 1;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            const parentEvent = heap[parent];
            if (parentEvent === undefined || isBefore(parentEvent, event)) {
                break;
            }
            heap[position] = parentEvent;
            position = parent;
        }
        heap[position] = event;
    }

    /** Runs events until none is left or the next one is after `endMs`. */
    run(endMs: number): void {
        for (let event = this.takeFirst(); event !== undefined; event = this.takeFirst()) {
            if (event.atMs > endMs) {
                return;
            }
            this.now = event.atMs;
            event.run();
        }
    }

    private takeFirst(): ScheduledEvent | undefined {
        const heap = this.heap;
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        let position = 0;
        for (;;) {
            const child = this.findSmallerChild(position);
            const childEvent = heap[child];
            if (childEvent === undefined || isBefore(last, childEvent)) {
                break;
            }
            heap[position] = childEvent;
            position = child;
        }
        heap[position] = last;
        return first;
    }

    private findSmallerChild(position: number): number {
        const left = this.heap[2 * position + 1];
        const right = this.heap[2 * position + 2];
        return left !== undefined && right !== undefined && isBefore(right, left) ? 2 * position + 2 : 2 * position + 1;
    }
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
    a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
