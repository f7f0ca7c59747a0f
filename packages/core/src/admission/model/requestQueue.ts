/** Requests pending at a host until an endpoint has free capacity. */
import type { Priority, RequestId, WorkspaceId } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";

/** One pending request. Times are in milliseconds on the host's monotonic clock. */
export interface QueuedRequest {
    readonly request: RequestId;
    readonly workspace: WorkspaceId;
    readonly lengthClass: LengthClass;
    readonly priority: Priority;
    /** Weight of the workspace in fair queueing, relative to other workspaces. */
    readonly weight: number;
    /** Tokens charged to the workspace when the request is taken from the queue. */
    readonly tokens: number;
    readonly enqueuedAtMs: number;
    readonly deadlineMs: number;
    /** End of the backoff after a failed or refused attempt; the request is not taken before. */
    readonly notBeforeMs: number;
}

/**
 * Queue of one host, ordered by priority, length class, age and weighted fair queueing of the workspaces. Immutable.
 */
export interface RequestQueue {
    readonly pendingRequests: readonly QueuedRequest[];
    /** Virtual time of each workspace in fair queueing: tokens taken from the queue, divided by the weight. */
    readonly virtualTimes: ReadonlyMap<WorkspaceId, number>;
}

export const emptyRequestQueue: RequestQueue = { pendingRequests: [], virtualTimes: new Map() };
