/** Batches requests to run an action, so that it runs once for all that are pending. */
export interface BatchTimer {
    /** Schedules the action to run within the given time; an earlier pending run covers the request. */
    readonly schedule: (withinMs: number) => void;
    /** Cancels a pending run. */
    readonly cancel: () => void;
}

/** Creates a timer without a pending run. */
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
