import type Logger from "bunyan";

/** Names the step that a process is at while it starts. */
export interface StartProgress {
    /** Writes the step that begins to the log, so that the log of a start that does not end names its last step. */
    readonly beginStep: (step: string) => void;
    /** Returns the last step that has begun. */
    readonly getStep: () => string | undefined;
}

export function createStartProgress(log: Logger): StartProgress {
    let current: string | undefined;
    return {
        beginStep: step => {
            current = step;
            log.info({ step }, "host: starting");
        },
        getStep: () => current,
    };
}
