/** What became of one send, for the request's log line. */
export type AttemptOutcome =
    | "pending"
    | "answered"
    /** The endpoint's own failure, passed on or tried again. */
    | "failed"
    /** No byte reached an endpoint, or the endpoint stated that it did not run the request. */
    | "not_run"
    /** The request may have run. */
    | "unknown"
    | "caller_gone"
    | "out_of_time";

export interface AttemptRecord {
    readonly endpoint: string;
    readonly sentAfterMs: number;
    /** Expected time to the first event. */
    readonly expectedMs?: number;
    /** Part of it until the prompts that the host knew of on the endpoint have been read. */
    readonly backlogMs?: number;
    /** Number of bookings on the endpoint that the host knew of. */
    readonly booked?: number;
    readonly cost?: number;
    readonly parts?: readonly string[];
    firstAfterMs?: number;
    /** Longest time between two events. */
    longestPauseMs?: number;
    endedAfterMs?: number;
    outcome: AttemptOutcome;
    reason?: string;
    /** Whether the first byte may have left. */
    wasSent: boolean;
}
