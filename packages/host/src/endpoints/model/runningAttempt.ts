/** Attempts that this host has running on engines. */
import type { AttemptId, EndpointId, ModelId, RequestId, WorkspaceId } from "@currantrill/protocol";

/**
 * Why the host ends an attempt although its connection works. `reclaimed`: the endpoint's owner has taken it back.
 * `allocation_lost`: an engine no longer holds memory that was allocated for the attempt.
 */
export type InterruptReason = "reclaimed" | "member_failed" | "allocation_lost";

/** A running attempt, as far as reclaims and lost allocations are concerned. */
export interface RunningAttempt {
    readonly attemptId: AttemptId;
    readonly requestId: RequestId;
    readonly workspace: WorkspaceId;
    /** The engine that streams the answer. */
    readonly endpoint: EndpointId;
    /** All engines that hold memory for the attempt, `endpoint` included. */
    readonly members: readonly EndpointId[];
    readonly model: ModelId;
    /** Endpoints on which the request may continue. */
    readonly allowedEndpoints: readonly EndpointId[];
    /** Estimates the time until the attempt completes, in milliseconds. */
    estimateRemainingMs(): number;
    /**
     * Ends the attempt. Its request continues with another attempt while its deadline allows, preferably on
     * `kvCacheEndpoint`, which has received the KV cache.
     */
    interrupt(reason: InterruptReason, kvCacheEndpoint?: EndpointId): void;
}

/** The attempts that run now, by id. */
export type RunningAttempts = Map<AttemptId, RunningAttempt>;
