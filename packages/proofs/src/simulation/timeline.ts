/** Virtual time: runs callbacks in the order of their due times, and in the order of insertion if those are equal. */
export interface Timeline {
    readonly getNowMs: () => number;
    readonly schedule: (delayMs: number, run: () => void) => void;
    /** Runs all callbacks due up to the given time, then advances to it. Throws after `MAX_CALLBACKS` callbacks. */
    readonly runUntil: (timeMs: number) => void;
}

interface Entry {
    readonly atMs: number;
    readonly run: () => void;
}

/** Far more callbacks than any schedule needs, so that an endless loop ends in an error. */
const MAX_CALLBACKS = 2_000_000;

export function createTimeline(): Timeline {
    // Sorted by descending due time, so that the next entry can be popped from the end.
    const entries: Entry[] = [];
    let nowMs = 0;
    let callbacks = 0;
    const schedule = (delayMs: number, run: () => void): void => {
        const atMs = nowMs + Math.max(0, delayMs);
        entries.splice(findPosition(entries, atMs), 0, { atMs, run });
    };
    const runUntil = (timeMs: number): void => {
        for (let next = entries.at(-1); next !== undefined && next.atMs <= timeMs; next = entries.at(-1)) {
            entries.pop();
            nowMs = next.atMs;
            callbacks += 1;
            if (callbacks > MAX_CALLBACKS) {
                throw new Error(`more than ${MAX_CALLBACKS} callbacks before ${timeMs} ms`);
            }
            next.run();
        }
        nowMs = Math.max(nowMs, timeMs);
    };
    return { getNowMs: () => nowMs, schedule, runUntil };
}

function findPosition(entries: readonly Entry[], atMs: number): number {
    let low = 0;
    let high = entries.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        const entry = entries[middle];
        if (entry !== undefined && entry.atMs > atMs) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
