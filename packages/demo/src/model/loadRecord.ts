/** History of a load run: one record for each request, in the order of the answers. */
import type { LengthClass } from "@currantrill/core";
import type { Priority } from "@currantrill/protocol";

/** A request that the load tool will send, drawn before the run. */
export type PlannedRequest = PlannedPrompt | PlannedCall;

interface PlannedBase {
    /** Time of the call after the start of the run, in milliseconds. */
    readonly atMs: number;
    /** Index of the host, modulo their number. */
    readonly host: number;
}

export interface PlannedPrompt extends PlannedBase {
    readonly what: "prompt";
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly priority: Priority;
}

export interface PlannedCall extends PlannedBase {
    readonly what: "dispatch";
    readonly idempotencyKey: string;
}

export interface LoadRecord {
    /** Workspace that sent the request. */
    readonly who: string;
    readonly what: PlannedRequest["what"];
    readonly host: string;
    readonly requestId: string;
    readonly lengthClass?: LengthClass;
    readonly promptTokens?: number;
    readonly priority?: Priority;
    readonly idempotencyKey?: string;
    /** Times after the start of the run, in milliseconds. */
    readonly calledMs: number;
    readonly firstTokenMs?: number;
    readonly answeredMs: number;
    /** `broken`: the connection ended before an answer; `incomplete`: the answer is not whole. */
    readonly outcome: "answered" | "not_run" | "outcome_unknown" | "incomplete" | "broken";
    readonly status?: number;
    readonly detail: string;
}
