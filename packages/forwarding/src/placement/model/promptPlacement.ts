/** Endpoints that were chosen for a prompt. */
export interface PromptPlacement {
    /** Endpoint that decodes the answer. */
    readonly primaryId: string;
    /** Endpoints that prefill further shards of the prompt; empty if the primary endpoint prefills all of it. */
    readonly helperShards: readonly HelperShard[];
    /** Expected time to the first event, in milliseconds. */
    readonly firstEventMs: number;
    /** Expected time until the pending prefills of the primary endpoint are complete, in milliseconds. */
    readonly backlogMs: number;
    /** Cost by the placement weights. */
    readonly cost: number;
    /** Number of assignments on the primary endpoint that were known to the host that decided. */
    readonly assignedCount: number;
}

export interface HelperShard {
    readonly endpointId: string;
    /** Memory to reserve at the endpoint, in tokens; 0 if the primary endpoint holds the whole prompt. */
    readonly reserveTokens: number;
}
