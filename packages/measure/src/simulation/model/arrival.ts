import type { LengthClass } from "@currantrill/core";
import type { Priority, RequestId, WorkspaceId } from "@currantrill/protocol";

/** One request as a caller sends it. */
export interface Arrival {
    readonly request: RequestId;
    readonly atMs: number;
    /** Position of the host that the load balancer picks. */
    readonly host: number;
    readonly workspace: WorkspaceId;
    readonly lengthClass: LengthClass;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly priority: Priority;
    readonly deadlineMs: number;
    /** Prefix that the prompt shares with others, such as the same document; 0 tokens if there is none. */
    readonly prefixHash: string;
    readonly prefixTokens: number;
}

export type RequestOutcome = "pending" | "answered" | "refused" | "late" | "unanswered";

/** What became of a request. */
export interface RequestRecord {
    readonly arrival: Arrival;
    outcome: RequestOutcome;
    /** Time at the caller; undefined before the first token. */
    firstTokenAtMs: number | undefined;
}
