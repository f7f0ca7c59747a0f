/** Planned requests and history of a load run. The history has one record per request, in the order of the responses. */
import type { LengthClass } from "@currantrill/core";
import type { Priority } from "@currantrill/protocol";

/** A request that the load tool sends. All requests are planned before the run. */
export type PlannedRequest = PlannedPrompt | PlannedCall;

interface PlannedBase {
    /** Time at which the request is sent, in milliseconds after the start of the run. */
    readonly atMs: number;
    /** Number that selects the host: its index modulo the number of hosts. */
    readonly host: number;
}

/** A streamed prompt. */
export interface PlannedPrompt extends PlannedBase {
    readonly what: "prompt";
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly priority: Priority;
}

/** A non-idempotent service call. */
export interface PlannedCall extends PlannedBase {
    readonly what: "dispatch";
    readonly idempotencyKey: string;
}

/** Result of one request; one JSON line of the history file. */
export interface LoadRecord {
    /** Name of the workspace that sent the request. */
    readonly who: string;
    readonly what: PlannedRequest["what"];
    readonly host: string;
    readonly requestId: string;
    readonly lengthClass?: LengthClass;
    readonly promptTokens?: number;
    readonly priority?: Priority;
    readonly idempotencyKey?: string;
    /** Time at which the request was sent. All times are in milliseconds after the start of the run. */
    readonly calledMs: number;
    readonly firstTokenMs?: number;
    /** Time at which the response ended or the request failed. */
    readonly answeredMs: number;
    /**
     * `broken`: the connection was lost or the caller's time limit passed; `incomplete`: the answer differs from the
     * expected one, or the host reported an error with another outcome than `not_run` or `outcome_unknown`.
     */
    readonly outcome: "answered" | "not_run" | "outcome_unknown" | "incomplete" | "broken";
    readonly status?: number;
    /** Error text; empty if the request succeeded. */
    readonly detail: string;
}
