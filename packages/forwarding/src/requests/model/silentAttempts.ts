import type { SilentAttempt, StreamAttemptPlan, StreamAttemptResult } from "./streamAttempt.js";

/** The attempt of a stream whose endpoint is silent, beside the next one. The first event of either ends the other. */
export interface SilentAttempts {
    /** Returns what the plan of the next attempt has to know. */
    readonly plan: (
        mayGoOnSilent: boolean,
    ) => Pick<StreamAttemptPlan, "mayGoOnSilent" | "hasSilentAttempt" | "onFirstEvent" | "onGoesOn" | "onStarted">;
    readonly add: (attempt: SilentAttempt) => void;
    /** Whether the silent endpoint has gone on. No other attempt may be made then. */
    readonly hasGoneOn: () => boolean;
    /** Waits for the end of the attempt. Resolves with `undefined` if there is none. */
    readonly resumeAlone: () => Promise<StreamAttemptResult | undefined>;
    /** Aborts the attempt. */
    readonly end: () => void;
}

/** Creates the state of a stream without a silent endpoint. */
export function createSilentAttempts(): SilentAttempts {
    let silent: SilentAttempt | undefined;
    let hasGoneOn = false;
    let abortNext = (): void => undefined;
    const end = (): void => {
        silent?.abort();
        silent = undefined;
    };
    return {
        plan: mayGoOnSilent => {
            const earlier = silent;
            const hasSilentAttempt = earlier !== undefined;
            return {
                // One at a time: the endpoints of all further attempts are given up as soon as they are silent.
                mayGoOnSilent: () => mayGoOnSilent && silent === undefined,
                hasSilentAttempt: () => silent !== undefined,
                onFirstEvent: () => {
                    if (earlier !== undefined && silent === earlier) {
                        end();
                    }
                },
                onGoesOn: () => {
                    hasGoneOn = true;
                    abortNext();
                },
                onStarted: abort => {
                    abortNext = hasSilentAttempt ? abort : abortNext;
                },
            };
        },
        add: attempt => {
            silent = attempt;
            abortNext = () => undefined;
            void attempt.ended.then(result => {
                if (silent === attempt && "wasSent" in result) {
                    silent = undefined;
                }
            });
        },
        hasGoneOn: () => hasGoneOn,
        resumeAlone: async () => {
            silent?.resumeAlone();
            const result = await silent?.ended;
            silent = undefined;
            return result;
        },
        end,
    };
}
