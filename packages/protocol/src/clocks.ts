/**
 * Simultaneous readings of a host's two clocks. Neither clock alone measures every pause: the wall clock can be stepped
 * back, and the monotonic clock stops while a virtual machine is suspended. Elapsed time is therefore the larger of the
 * two differences.
 */
export interface Clocks {
    /** `Date.now()`. */
    readonly wallMs: number;
    /** `performance.now()`. */
    readonly monotonicMs: number;
}

/** Measures the milliseconds between two readings of the same host's clocks, at least 0. */
export function measureElapsed(start: Clocks, now: Clocks): number {
    return Math.max(0, now.wallMs - start.wallMs, now.monotonicMs - start.monotonicMs);
}

/** Reads both clocks. */
export const readClocks = (): Clocks => ({ wallMs: Date.now(), monotonicMs: performance.now() });
