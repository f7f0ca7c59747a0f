/** Wakes a host that copies changes from peers, once one of them knows of a change. */
export interface NewsSignal {
    readonly raise: () => void;
    /** Returns whether it was raised since the last call. */
    readonly take: () => boolean;
    /** Waits until it is raised, at most for a time. */
    readonly wait: (ms: number) => Promise<void>;
}

/** Creates a signal that is not raised. */
export function createNewsSignal(): NewsSignal {
    let isRaised = false;
    let wake: () => void = () => undefined;
    return {
        raise: () => {
            isRaised = true;
            wake();
        },
        take: () => {
            const wasRaised = isRaised;
            isRaised = false;
            return wasRaised;
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
