/** The attempts that this host runs on engines. */
import type { AttemptId, EndpointId, ModelId, RequestId, WorkspaceId } from "@currantrill/protocol";

/** Why a running attempt is ended although nothing is wrong with its connection. */
export type InterruptReason = "reclaimed" | "member_failed" | "allocation_lost";

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
    readonly allowed: readonly EndpointId[];
    /** Expected time until it ends by itself, in milliseconds. */
    estimateRemainingMs(): number;
    /** Ends the attempt. Its request continues with another attempt while its deadline allows. */
    interrupt(reason: InterruptReason, continueOn?: EndpointId): void;
}

export type RunningAttempts = Map<AttemptId, RunningAttempt>;
