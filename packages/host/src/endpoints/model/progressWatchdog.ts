/** Watchdog timer for the progress of a connection. */
export interface ProgressWatchdog {
    /** Sets the time of the monotonic clock, in milliseconds, by which the next progress is due. */
    setDeadline(deadlineMs: number): void;
    /** Suspends the deadline until the next `setDeadline`, such as while the caller does not read (backpressure). */
    pause(): void;
    /** Disables the watchdog for good. */
    stop(): void;
}

/** Creates a watchdog without a deadline. It calls `handleTimeout` once if a deadline passes. */
export function createProgressWatchdog(handleTimeout: () => void): ProgressWatchdog {
    let deadlineMs = Infinity;
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;

    const scheduleCheck = (): void => {
        timer = setTimeout(check, Math.max(0, deadlineMs - performance.now()));
    };
    const check = (): void => {
        timer = undefined;
        if (deadlineMs === Infinity || stopped) {
            return;
        }
        if (performance.now() < deadlineMs) {
            scheduleCheck();
            return;
        }
        // After a pause of the process, timers run before data that has already arrived is read. Check again when it
        // has been read.
        const missedDeadlineMs = deadlineMs;
        setImmediate(() => {
            if (deadlineMs === missedDeadlineMs && !stopped) {
                handleTimeout();
                return;
            }
            scheduleCheck();
        });
    };

    return {
        // The timer is not rescheduled with each token: when it fires, it reads the latest deadline.
        setDeadline: value => {
            const isEarlier = value < deadlineMs;
            deadlineMs = value;
            if (timer === undefined || isEarlier) {
                clearTimeout(timer);
                scheduleCheck();
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
