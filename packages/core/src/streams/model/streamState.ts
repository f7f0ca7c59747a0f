/** The answer to one prompt, put together from the tokens of one attempt after another. */
import type { AttemptId, RequestId } from "@currantrill/protocol";

export interface StreamState {
    readonly requestId: RequestId;
    /** The only attempt whose tokens count; `undefined` between attempts. */
    readonly attemptId: AttemptId | undefined;
    /** Index of the next token to deliver, which is also where the next attempt resumes. */
    readonly nextIndex: number;
    readonly maxTokens: number;
    /** Start of the attempt or arrival of its last token, in milliseconds. */
    readonly progressAtMs: number;
    /** Whether the current attempt has sent a token. */
    readonly attemptHasToken: boolean;
    readonly finished: boolean;
}

/** Something that arrived on the connection of one attempt. */
export type StreamEvent =
    | {
        readonly kind: "token";
        readonly attemptId: AttemptId;
        readonly index: number;
        /** Request that the token itself names, if it names one. */
        readonly requestId?: string | undefined;
    }
    | { readonly kind: "terminator"; readonly attemptId: AttemptId; }
    | { readonly kind: "closed"; readonly attemptId: AttemptId; };

export type DropReason = "old_attempt" | "other_request" | "already_delivered" | "finished";
export type BreakReason = "gap" | "too_long" | "no_terminator" | "no_token";

/** What the event means for the answer. After `broken` a new attempt has to resume at `nextIndex`. */
export type StreamDecision =
    | { readonly kind: "deliver"; }
    | { readonly kind: "drop"; readonly reason: DropReason; }
    | { readonly kind: "finish"; }
    | { readonly kind: "broken"; readonly reason: BreakReason; };

export interface StreamStep {
    readonly state: StreamState;
    readonly decision: StreamDecision;
}

/** Limits on the progress of an attempt, in milliseconds. */
export interface ProgressLimits {
    readonly firstTokenMs: number;
    readonly betweenTokensMs: number;
}

export function createStreamState(requestId: RequestId, maxTokens: number): StreamState {
    return {
        requestId,
        attemptId: undefined,
        nextIndex: 0,
        maxTokens,
        progressAtMs: 0,
        attemptHasToken: false,
        finished: false,
    };
}
