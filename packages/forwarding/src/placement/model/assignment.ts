/** Work that a host has assigned to an endpoint and announces to its peers. */
export interface Assignment {
    /** Unique within one run of the host's process. */
    readonly id: number;
    readonly endpointId: string;
    /** Memory that the work occupies at the endpoint when it is complete, in tokens. */
    readonly memoryTokens: number;
    /** Prompt tokens that the endpoint prefills. */
    readonly prefillTokens: number;
    /** Number of endpoints that prefill equal shards of the prompt; 1 if the prefill is not sharded. */
    readonly promptShards: number;
    /** Prefill time on an idle endpoint according to its published figures, in milliseconds. */
    readonly prefillMs: number;
    /** Time from the start after which the first event is late, in milliseconds. */
    readonly targetMs: number;
    /** Target for the longest pause between two events, in milliseconds. */
    readonly targetPauseMs: number;
    /** Whether the endpoint only prefills a shard, and the answer is decoded at another endpoint. */
    readonly isDecodedElsewhere: boolean;
    /** When the work was assigned, by the local monotonic clock of the host that uses this value. */
    readonly startedAtMs: number;
    /** When the first event arrived, which shows that the prefill is complete; absent before that. */
    readonly prefilledAtMs?: number;
}
