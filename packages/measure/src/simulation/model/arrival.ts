import type { LengthClass } from "@currantrill/core";
import type { Priority, RequestId, WorkspaceId } from "@currantrill/protocol";

/** A request as the caller sends it. */
export interface Arrival {
    readonly request: RequestId;
    /** Virtual time at which the caller sends the request. */
    readonly atMs: number;
    /** Index of the host to which the load balancer sends the request. */
    readonly host: number;
    readonly workspace: WorkspaceId;
    readonly lengthClass: LengthClass;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly priority: Priority;
    readonly deadlineMs: number;
    /** Prefix that the prompt shares with other prompts, such as a document; without one, `prefixTokens` is 0. */
    readonly prefixHash: string;
    readonly prefixTokens: number;
}

/**
 * Outcome of a request: "pending" until it ends, "refused" by the host, "late" if the deadline passed after the first
 * token, "unanswered" for any other failure.
 */
export type RequestOutcome = "pending" | "answered" | "refused" | "late" | "unanswered";

/** Outcome and timing of a request. */
export interface RequestRecord {
    readonly arrival: Arrival;
    outcome: RequestOutcome;
    /** Time at which the caller received the first token; `undefined` before it. */
    firstTokenAtMs: number | undefined;
}
