import type { AttemptTracker, TrackedAttempt } from "../model/attemptTracker.js";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import type { QuarantineState } from "../model/quarantineState.js";
import type { TrackedRequest } from "../model/trackedRequest.js";
import { createTurnQueue } from "./createTurnQueue.js";

/** Attempts in progress on this host on which no answer has been written. */
export interface AttemptRegistry {
    /** Starts to follow an attempt. */
    readonly track: (attempt: TrackedAttempt) => AttemptTracker;
    /** Waits until a copy of a suspected request that runs on this host has ended or has been answered. */
    readonly waitForCopies: (request: TrackedRequest) => Promise<void>;
    /** Aborts the attempts of requests with a suspect, but not its trial. */
    readonly abort: (isolated: QuarantineEntry) => void;
}

/** Creates an empty registry. */
export function createAttemptRegistry(state: QuarantineState): AttemptRegistry {
    const running = new Set<TrackedAttempt>();
    const turns = createTurnQueue({ state, running });
    return {
        track: attempt => {
            running.add(attempt);
            let isAnswered = false;
            const end = (): void => {
                running.delete(attempt);
                turns.wake();
            };
            return {
                recordAnswer: beganAtMs => {
                    if (!isAnswered) {
                        isAnswered = true;
                        state.recordAnswer(attempt.request, beganAtMs);
                        releaseAnswered(state, attempt);
                    }
                    end();
                },
                end,
            };
        },
        waitForCopies: turns.wait,
        abort: ({ service, suspect }) =>
            [...running]
                .filter(({ request, trial }) =>
                    trial === undefined && request.service === service && state.listSuspects(request).includes(suspect)
                )
                .forEach(attempt => attempt.abort()),
    };
}

/** Ends the isolation of a suspect whose trial has been answered. */
function releaseAnswered(state: QuarantineState, { request, trial }: TrackedAttempt): void {
    const entry = trial === undefined ? undefined : state.findIsolated(request.service, [trial.suspect]);
    if (entry !== undefined) {
        state.change(entry, { isIsolated: false, changedAtMs: performance.now(), trials: 0 });
    }
}
