/** Watches the progress of a connection. */
export interface ProgressWatch {
    /** Sets the time by which the next progress has to be made, on the monotonic clock. */
    expectBy(deadlineMs: number): void;
    /** Nothing is expected, such as while the caller does not read. */
    pause(): void;
    stop(): void;
}

/** Creates a watch. `handleSilence` is called once if progress is late. */
export function createProgressWatch(handleSilence: () => void): ProgressWatch {
    let deadlineMs = Infinity;
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;

    const schedule = (): void => {
        timer = setTimeout(check, Math.max(0, deadlineMs - performance.now()));
    };
    const check = (): void => {
        timer = undefined;
        if (deadlineMs === Infinity || stopped) {
            return;
        }
        if (performance.now() < deadlineMs) {
            schedule();
            return;
        }
        // After a pause of the process, timers run before the data that arrived meanwhile is read.
        const missedMs = deadlineMs;
        setImmediate(() => {
            if (deadlineMs === missedMs && !stopped) {
                handleSilence();
                return;
            }
            schedule();
        });
    };

    return {
        // The timer is not moved with each token; it finds the new deadline when it fires.
        expectBy: value => {
            const isEarlier = value < deadlineMs;
            deadlineMs = value;
            if (timer === undefined || isEarlier) {
                clearTimeout(timer);
                schedule();
            }
        },
        pause: () => {
            deadlineMs = Infinity;
        },
        stop: () => {
            stopped = true;
            clearTimeout(timer);
        },
    };
}
