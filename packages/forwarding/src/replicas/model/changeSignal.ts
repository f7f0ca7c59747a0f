/** Wakes a loop that waits for changes, when a peer has announced one. A notification is kept until it is taken. */
export interface ChangeSignal {
    /** Notifies of a change, and ends the current wait. */
    readonly notify: () => void;
    /** Returns whether `notify` was called since the last call, and clears the notification. */
    readonly take: () => boolean;
    /** Waits for the next notification, at most for the given time. */
    readonly wait: (ms: number) => Promise<void>;
}

/** Creates a signal without a notification. */
export function createChangeSignal(): ChangeSignal {
    let isNotified = false;
    let wake: () => void = () => undefined;
    return {
        notify: () => {
            isNotified = true;
            wake();
        },
        take: () => {
            const wasNotified = isNotified;
            isNotified = false;
            return wasNotified;
        },
        wait: ms =>
            new Promise(resolve => {
                const timer = setTimeout(resolve, ms);
                wake = () => {
                    clearTimeout(timer);
                    resolve();
                };
            }),
    };
}
