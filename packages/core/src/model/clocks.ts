/**
 * Time as a host sees it. Neither clock alone shows every pause: the wall clock can be stepped back, and the monotonic
 * clock stands still while a virtual machine is suspended. Elapsed time is therefore the larger of the two differences.
 */
export interface Clocks {
    /** `Date.now()`. */
    readonly wallMs: number;
    /** `performance.now()`. */
    readonly monotonicMs: number;
}

/** Milliseconds between two readings of the same host's clocks, at least 0. */
export function measureElapsed(start: Clocks, now: Clocks): number {
    return Math.max(0, now.wallMs - start.wallMs, now.monotonicMs - start.monotonicMs);
}
