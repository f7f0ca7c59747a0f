/**
 * Lateness of a timer that shows that the process did not run for a while. Replies that arrived meanwhile have not been
 * read yet when the timer runs.
 */
const PAUSE_MS = 60;

/**
 * Longest timer of a timeout, which is what a pause adds to it. Callers disconnect 0.5 s after a silent endpoint is to be
 * given up (`getPauseLimits`), so that a whole wait must not begin anew.
 */
const MAX_TIMER_MS = 300;

/**
 * Calls `onTimeout` after a time in which the process has been running. A timer that runs late, because the process was
 * paused or starved of processor time, does not count, so that the pause is not taken for silence of the other side.
 * Returns a function that cancels it.
 */
export function startTimeout(ms: number, onTimeout: () => void): () => void {
    let timer: NodeJS.Timeout;
    // An estimate may be infinite, and a timer of no finite length runs at once.
    let remainingMs = Math.min(ms, Number.MAX_SAFE_INTEGER);
    const start = (): void => {
        // Timers of equal length: a short last one would leave no time to read replies after a pause.
        const timerMs = Math.ceil(remainingMs / Math.ceil(remainingMs / MAX_TIMER_MS));
        const dueAtMs = performance.now() + timerMs;
        timer = setTimeout(() => {
            if (performance.now() - dueAtMs <= PAUSE_MS) {
                remainingMs -= timerMs;
            }
            if (remainingMs > 0) {
                start();
                return;
            }
            onTimeout();
        }, timerMs);
    };
    start();
    return () => clearTimeout(timer);
}
