import type { ServiceId } from "@currantrill/protocol";
import type { QuarantineEntry } from "./quarantineEntry.js";
import type { SuspectId } from "./suspect.js";

/** What the quarantine has to know of a prompt that is sent to an endpoint. */
export interface TrackedAttempt {
    readonly service: ServiceId;
    readonly parts: readonly SuspectId[];
    /** Set if the prompt is the trial of an isolated part. */
    readonly trial?: QuarantineEntry;
    /** Aborts the attempt, because a part of the prompt has been isolated. */
    readonly abort: () => void;
}

/** Follows one attempt of a prompt. */
export interface AttemptTracker {
    /** Records that the endpoint has written an answer, which began at `beganAtMs`. */
    readonly recordAnswer: (beganAtMs: number) => void;
    /** Ends the tracking. */
    readonly end: () => void;
}
