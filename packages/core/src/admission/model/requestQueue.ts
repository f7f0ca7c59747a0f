/** Requests that wait at a host for an endpoint. */
import type { Priority, RequestId, WorkspaceId } from "@currantrill/protocol";
import type { LengthClass } from "../../model/lengthClass.js";

export interface QueuedRequest {
    readonly request: RequestId;
    readonly workspace: WorkspaceId;
    readonly lengthClass: LengthClass;
    readonly priority: Priority;
    /** Share of the workspace under contention, relative to others. */
    readonly weight: number;
    /** Tokens that the request is charged with. */
    readonly tokens: number;
    readonly enqueuedAtMs: number;
    readonly deadlineMs: number;
    /** Not offered before this time: backoff after a refusal. */
    readonly notBeforeMs: number;
}

export interface RequestQueue {
    readonly waiting: readonly QueuedRequest[];
    /** Weighted tokens served to each workspace: the virtual time of fair queueing. */
    readonly served: ReadonlyMap<WorkspaceId, number>;
}

export const emptyRequestQueue: RequestQueue = { waiting: [], served: new Map() };
