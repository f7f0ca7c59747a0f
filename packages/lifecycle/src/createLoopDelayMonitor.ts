/**
 * Interval of the timer whose lateness is measured. A delay is underestimated by up to this time, by which a host then takes
 * requests for too long after its stop signal. A drain leaves 0.2 s for that in a grace time of 8 s.
 */
const TICK_MS = 100;
/** Time after a late tick in which signals are handled that arrived during the delay. */
const RECENT_MS = 50;

export interface LoopDelayMonitor {
    /**
     * Returns for how long the event loop has handled nothing before this turn, in milliseconds; 0 if it is on time. A
     * signal that is handled now may have arrived so much earlier.
     */
    readonly getDelayMs: () => number;
    readonly stop: () => void;
}

/** Starts to measure the delays of the event loop, such as on a host that is starved of processor time. */
export function createLoopDelayMonitor(): LoopDelayMonitor {
    let dueAtMs = performance.now() + TICK_MS;
    let lastDelay = { ms: 0, endedAtMs: -Infinity };
    const timer = setInterval(() => {
        const nowMs = performance.now();
        lastDelay = { ms: nowMs - dueAtMs, endedAtMs: nowMs };
        dueAtMs = nowMs + TICK_MS;
    }, TICK_MS);
    timer.unref();
    return {
        // The late tick may run before the handler of the signal or after it.
        getDelayMs: () => {
            const nowMs = performance.now();
            const lastMs = nowMs - lastDelay.endedAtMs <= RECENT_MS ? lastDelay.ms : 0;
            return Math.max(0, lastMs, nowMs - dueAtMs);
        },
        stop: () => clearInterval(timer),
    };
}
