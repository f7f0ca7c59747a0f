import type { QuarantineEntry } from "./quarantineEntry.js";
import type { TrackedRequest } from "./trackedRequest.js";

/** An attempt of a request at an endpoint. */
export interface TrackedAttempt {
    readonly request: TrackedRequest;
    /** Set if the attempt is the trial of an isolated suspect. */
    readonly trial?: QuarantineEntry;
    /** Aborts the attempt, because a suspect of the request has been isolated. */
    readonly abort: () => void;
}

/** Follows one attempt. */
export interface AttemptTracker {
    /** Records that the endpoint has written an answer, which began at `beganAtMs`. */
    readonly recordAnswer: (beganAtMs: number) => void;
    /** Ends the tracking. */
    readonly end: () => void;
}
