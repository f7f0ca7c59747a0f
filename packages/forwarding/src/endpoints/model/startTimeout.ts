/**
 * Lateness of a timer that shows that the process did not run for a while. Replies that arrived meanwhile have not been
 * read yet when the timer runs.
 */
const PAUSE_MS = 60;

/**
 * Calls `onTimeout` after a time in which the process has been running. If the timer runs late, because the process was
 * paused or starved of processor time, it is started again, so that the pause does not count as silence of the other
 * side. Returns a function that cancels it.
 */
export function startTimeout(ms: number, onTimeout: () => void): () => void {
    let timer: NodeJS.Timeout;
    const start = (): void => {
        const dueAtMs = performance.now() + ms;
        timer = setTimeout(() => {
            if (performance.now() - dueAtMs > PAUSE_MS) {
                start();
                return;
            }
            onTimeout();
        }, ms);
    };
    start();
    return () => clearTimeout(timer);
}
