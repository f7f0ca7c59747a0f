import type { AttemptTracker, TrackedAttempt } from "../model/attemptTracker.js";
import type { QuarantineEntry } from "../model/quarantineEntry.js";
import type { QuarantineState } from "../model/quarantineState.js";
import { getSuspectKind, type SuspectKind } from "../model/suspect.js";
import type { TrackedRequest } from "../model/trackedRequest.js";
import { createTurnQueue } from "./createTurnQueue.js";

/** Attempts in progress on this host on which no answer has been written. */
export interface AttemptRegistry {
    /** Starts to follow an attempt. */
    readonly track: (attempt: TrackedAttempt) => AttemptTracker;
    /** Waits for the turn of a suspected request among its copies on this host. */
    readonly waitForTurn: (request: TrackedRequest) => Promise<void>;
    /** Ends the turn of a request that has its final answer. */
    readonly endTurn: (request: TrackedRequest) => void;
    /** Checks the waiting requests again. */
    readonly wake: () => void;
    /** Aborts the attempts of requests with an isolated suspect, but not its trial. */
    readonly abort: (isolated: QuarantineEntry) => void;
}

/** Creates an empty registry. */
export function createAttemptRegistry(state: QuarantineState, getProofCrashes: () => number): AttemptRegistry {
    const running = new Set<TrackedAttempt>();
    const turns = createTurnQueue({ state, getProofCrashes, running });
    return {
        track: attempt => {
            running.add(attempt);
            const { request } = attempt;
            let isSound = false;
            // The turn of the request goes on: whether its endpoint has crashed is not known yet.
            const end = (): void => void running.delete(attempt);
            return {
                recordAnswer: beganAtMs => {
                    state.recordAnswer(request, "part", beganAtMs);
                    releaseAnswered(state, attempt, "part");
                    end();
                },
                recordSoundAnswer: () => {
                    if (isSound) {
                        return;
                    }
                    isSound = true;
                    state.recordAnswer(request, "request", performance.now());
                    releaseAnswered(state, attempt, "request");
                    end();
                    turns.end(request);
                },
                end,
            };
        },
        waitForTurn: turns.wait,
        endTurn: turns.end,
        wake: turns.wake,
        abort: isolated => {
            const { service, suspect } = isolated;
            [...running]
                .filter(({ request, trial }) =>
                    trial?.suspect !== suspect && request.service === service
                    && state.listSuspects(request).includes(suspect)
                )
                .forEach(attempt => attempt.abort(isolated));
        },
    };
}

/** Ends the isolation of a suspect of a kind whose trial has been answered. */
function releaseAnswered(state: QuarantineState, { request, trial }: TrackedAttempt, kind: SuspectKind): void {
    // In the service of the entry: another one that has answered the request says nothing about it.
    const entry = trial?.service === request.service
        ? state.findIsolated(request.service, [trial.suspect])
        : undefined;
    if (entry !== undefined && getSuspectKind(entry.suspect) === kind) {
        state.change(entry, { isIsolated: false, changedAtMs: performance.now(), trials: 0 });
    }
}
