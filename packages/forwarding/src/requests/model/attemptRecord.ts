/** Record of one attempt. It is written to the request log line, so its fields and values keep their names. */
export type AttemptOutcome =
    | "pending"
    /** The endpoint is silent. It may still go on while the next attempt has no event. */
    | "silent"
    | "answered"
    /** No byte of the request was sent, or the endpoint stated that it did not run the request. */
    | "not_run"
    /** The request may have run. */
    | "unknown";

/** Times are in milliseconds; those named `...AfterMs` count from the arrival of the request. */
export interface AttemptRecord {
    readonly endpoint: string;
    readonly sentAfterMs: number;
    /** Estimated time to the first event. */
    readonly expectedMs?: number;
    /** Portion of `expectedMs` until the pending prompts known to this host have been prefilled on the endpoint. */
    readonly backlogMs?: number;
    /** Number of assignments on the endpoint that were known to this host. */
    readonly booked?: number;
    /** Cost of the chosen placement. */
    readonly cost?: number;
    /** Addresses of the endpoints that prefill further shards of the prompt. */
    readonly parts?: readonly string[];
    /** Rate limit that the response named. */
    requestsPerSecond?: number | undefined;
    /** Arrival of the response headers. */
    respondedAfterMs?: number;
    firstAfterMs?: number;
    /** Number of events of a stream. */
    events?: number;
    /** Longest time between two consecutive events. */
    longestPauseMs?: number;
    endedAfterMs?: number;
    outcome: AttemptOutcome;
    reason?: string;
    /** Whether the first byte may have been sent. */
    wasSent: boolean;
}
