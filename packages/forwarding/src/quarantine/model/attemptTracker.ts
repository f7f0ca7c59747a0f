import type { QuarantineEntry } from "./quarantineEntry.js";
import type { TrackedRequest } from "./trackedRequest.js";

/** An attempt of a request at an endpoint. */
export interface TrackedAttempt {
    readonly request: TrackedRequest;
    /** Set if the attempt is the trial of an isolated suspect. */
    readonly trial?: QuarantineEntry;
    /** Aborts the attempt, because a suspect of the request has been isolated. */
    readonly abort: (isolated: QuarantineEntry) => void;
}

/** Follows one attempt. */
export interface AttemptTracker {
    /** Records that the endpoint has begun to write an answer, at `beganAtMs`: the parts of the prompt are sound. */
    readonly recordAnswer: (beganAtMs: number) => void;
    /** Records that the endpoint has written a whole answer, or for long enough: the request is sound. */
    readonly recordSoundAnswer: () => void;
    /** Ends the tracking. */
    readonly end: () => void;
}
