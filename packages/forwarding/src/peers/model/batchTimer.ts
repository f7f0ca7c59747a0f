/** Runs an action once for all requests within a time. */
export interface BatchTimer {
    /** Runs the action after a time at the latest. */
    readonly schedule: (withinMs: number) => void;
    readonly cancel: () => void;
}

/** Creates an idle timer. */
export function createBatchTimer(run: () => void): BatchTimer {
    let timer: NodeJS.Timeout | undefined;
    let dueAtMs = Infinity;
    return {
        schedule: withinMs => {
            const atMs = performance.now() + withinMs;
            if (atMs >= dueAtMs) {
                return;
            }
            clearTimeout(timer);
            dueAtMs = atMs;
            timer = setTimeout(() => {
                dueAtMs = Infinity;
                run();
            }, withinMs);
        },
        cancel: () => clearTimeout(timer),
    };
}
