import type { TrackedAttempt } from "../model/attemptTracker.js";
import type { QuarantineState } from "../model/quarantineState.js";
import type { TrackedRequest } from "../model/trackedRequest.js";

/** Crashes from which on a request runs once at a time, so that its copies do not end several endpoints at once. */
const MIN_CRASHES = 2;

export interface TurnQueueOptions {
    readonly state: Pick<QuarantineState, "countCrashes">;
    /** Attempts in progress on this host without an answer. */
    readonly running: ReadonlySet<TrackedAttempt>;
}

/** Lets the copies of a suspected request run one after the other on this host. */
export interface TurnQueue {
    /** Waits until no other copy of the request runs, or one has been answered. Returns at once for all other requests. */
    readonly wait: (request: TrackedRequest) => Promise<void>;
    /** Checks all waiting requests again, after an attempt has ended or has been answered. */
    readonly wake: () => void;
}

/** Creates an empty queue. */
export function createTurnQueue({ state, running }: TurnQueueOptions): TurnQueue {
    const waiting = new Set<() => void>();
    const hasCopy = (request: TrackedRequest): boolean =>
        [...running].some(({ request: other }) =>
            other.service === request.service && other.identity.getHeadDigest() === request.identity.getHeadDigest()
            && other.identity.getDigest() === request.identity.getDigest()
        );
    return {
        wait: async request => {
            while (state.countCrashes(request, performance.now()) >= MIN_CRASHES && hasCopy(request)) {
                await new Promise<void>(resolve => waiting.add(resolve));
            }
        },
        wake: () => {
            const woken = [...waiting];
            waiting.clear();
            woken.forEach(resolve => resolve());
        },
    };
}
