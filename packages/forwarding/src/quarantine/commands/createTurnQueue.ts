import type { TrackedAttempt } from "../model/attemptTracker.js";
import type { QuarantineState } from "../model/quarantineState.js";
import type { TrackedRequest } from "../model/trackedRequest.js";
import { SUSPECT_CRASHES } from "../queries/findCulprits.js";

/** Longest wait of a request for which enough crashes are known: the time to settle, and one more check after it. */
const MAX_VERDICT_WAIT_MS = 900;

export interface TurnQueueOptions {
    readonly state: Pick<QuarantineState, "countCrashes">;
    /** Returns the number of crashes that proves a request to be at fault. */
    readonly getProofCrashes: () => number;
    /** Attempts in progress on this host without an answer. */
    readonly running: ReadonlySet<TrackedAttempt>;
}

/** Holds back the copies of a suspected request. */
export interface TurnQueue {
    /**
     * Waits for the turn of a request: until no other copy of it runs or has the turn, and, if there are enough crashes for
     * a proof, until copies in progress on any host could be answered. Returns at once for all requests without suspicion.
     */
    readonly wait: (request: TrackedRequest) => Promise<void>;
    /** Ends the turn of a request, and lets its copies check whether it is theirs. */
    readonly end: (request: TrackedRequest) => void;
    /** Lets all waiting requests check whether it is their turn: after news of peers, and from time to time. */
    readonly wake: () => void;
}

const isCopy = (a: TrackedRequest, b: TrackedRequest): boolean =>
    a !== b && a.service === b.service && a.identity.getHeadDigest() === b.identity.getHeadDigest()
    && a.identity.getDigest() === b.identity.getDigest();

/** Creates an empty queue. */
export function createTurnQueue({ state, getProofCrashes, running }: TurnQueueOptions): TurnQueue {
    /** Suspected requests that have been admitted and whose turn has not ended. */
    const admitted = new Set<TrackedRequest>();
    const waiting = new Map<TrackedRequest, () => void>();
    const hasCopy = (request: TrackedRequest): boolean =>
        [...admitted].some(other => isCopy(other, request))
        || [...running].some(({ request: other }) => isCopy(other, request));
    const mustWait = (request: TrackedRequest, verdictAtMs: number): boolean => {
        const crashes = state.countCrashes(request);
        return crashes >= getProofCrashes() && performance.now() < verdictAtMs
            || crashes >= SUSPECT_CRASHES && hasCopy(request);
    };
    const wakeIf = (isSelected: (request: TrackedRequest) => boolean): void => {
        for (const [request, resolve] of [...waiting]) {
            if (isSelected(request)) {
                waiting.delete(request);
                resolve();
            }
        }
    };
    return {
        wait: async request => {
            const verdictAtMs = performance.now() + MAX_VERDICT_WAIT_MS;
            while (mustWait(request, verdictAtMs)) {
                await new Promise<void>(resolve => waiting.set(request, resolve));
            }
            if (state.countCrashes(request) >= SUSPECT_CRASHES) {
                admitted.add(request);
            }
        },
        end: request => {
            admitted.delete(request);
            wakeIf(other => isCopy(request, other));
        },
        wake: () => wakeIf(() => true),
    };
}
