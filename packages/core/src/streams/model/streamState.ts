/** Assembly of the answer to one prompt from the tokens of successive attempts. */
import type { AttemptId, RequestId } from "@currantrill/protocol";

/** Progress of one answer. Times are in milliseconds on one monotonic clock. */
export interface StreamState {
    readonly requestId: RequestId;
    /** Attempt whose tokens are accepted; `undefined` between attempts. */
    readonly attemptId: AttemptId | undefined;
    /** Index of the next token to deliver; the next attempt resumes there. */
    readonly nextIndex: number;
    readonly maxTokens: number;
    /** Time at which the attempt started or its last token arrived, in milliseconds. */
    readonly progressAtMs: number;
    /** Whether the current attempt has sent a token. */
    readonly attemptHasToken: boolean;
    readonly finished: boolean;
}

/** Event on the connection of one attempt. `closed` is the end of the connection. */
export type StreamEvent =
    | {
        readonly kind: "token";
        readonly attemptId: AttemptId;
        readonly index: number;
        /** Request id that the token carries, if it carries one. */
        readonly requestId?: string | undefined;
    }
    | { readonly kind: "terminator"; readonly attemptId: AttemptId; }
    | { readonly kind: "closed"; readonly attemptId: AttemptId; };

/**
 * Why an event is ignored: its attempt is not the current one, its token is of another request or a duplicate, or the
 * answer is complete.
 */
export type DropReason = "old_attempt" | "other_request" | "already_delivered" | "finished";
/**
 * Why an attempt has failed: tokens missing, more than `maxTokens`, end without a terminator, or an answer without
 * tokens.
 */
export type AttemptFailureReason = "gap" | "too_long" | "no_terminator" | "no_token";

/**
 * What to do after an event. `broken`: the attempt has failed, and a new one has to resume at `nextIndex`. `finish`:
 * the answer is complete.
 */
export type StreamDecision =
    | { readonly kind: "deliver"; }
    | { readonly kind: "drop"; readonly reason: DropReason; }
    | { readonly kind: "finish"; }
    | { readonly kind: "broken"; readonly reason: AttemptFailureReason; };

export interface StreamStep {
    readonly state: StreamState;
    readonly decision: StreamDecision;
}

/** Longest times without progress of an attempt, in milliseconds. */
export interface ProgressLimits {
    readonly firstTokenMs: number;
    readonly betweenTokensMs: number;
}

/**
 * Creates the state of a request that has no attempt yet. `maxTokens` is the largest number of tokens of the answer.
 */
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
