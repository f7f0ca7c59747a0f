/** Virtual time: a heap of events, run in the order of their times and, at the same time, of their scheduling. */
interface ScheduledEvent {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
}

export class EventQueue {
    now = 0;
    private order = 0;
    private readonly heap: ScheduledEvent[] = [];

    /** Schedules `run` in `delayMs`. */
    schedule(delayMs: number, run: () => void): void {
        const event = { atMs: this.now + Math.max(0, delayMs), order: this.order++, run };
        const heap = this.heap;
        let position = heap.push(event) - 1;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            const above = heap[parent];
            if (above === undefined || isBefore(above, event)) {
                break;
            }
            heap[position] = above;
            position = parent;
        }
        heap[position] = event;
    }

    /** Runs events until there is none left or the time is past `endMs`. */
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
            const below = heap[child];
            if (below === undefined || isBefore(last, below)) {
                break;
            }
            heap[position] = below;
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
