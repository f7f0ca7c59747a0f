import type { AttemptId } from "@currantrill/protocol";
import type { AttemptFailureReason, DropReason, StreamEvent, StreamState, StreamStep } from "../model/streamState.js";

/** Starts an attempt. Events of earlier attempts are dropped from then on. */
export function startStreamAttempt(state: StreamState, attemptId: AttemptId, now: number): StreamState {
    return { ...state, attemptId, progressAtMs: now, attemptHasToken: false };
}

/** Decides whether an event is delivered, dropped, or ends the attempt or the answer. */
export function acceptStreamEvent(state: StreamState, event: StreamEvent, now: number): StreamStep {
    if (state.finished) {
        return dropEvent(state, "finished");
    }
    if (event.attemptId !== state.attemptId) {
        return dropEvent(state, "old_attempt");
    }
    return eventHandlers[event.kind](state, event as never, now);
}

type EventOfKind<K extends StreamEvent["kind"]> = Extract<StreamEvent, { kind: K; }>;
type EventHandlers = {
    readonly [K in StreamEvent["kind"]]: (state: StreamState, event: EventOfKind<K>, now: number) => StreamStep;
};

const eventHandlers: EventHandlers = {
    token: acceptToken,
    terminator: state => {
        // A terminator without any token is a failed attempt and not an empty answer.
        return state.nextIndex === 0
            ? failAttempt(state, "no_token")
            : { state: { ...state, finished: true }, decision: { kind: "finish" } };
    },
    closed: state => failAttempt(state, "no_terminator"),
};

function acceptToken(state: StreamState, event: EventOfKind<"token">, now: number): StreamStep {
    if (event.requestId !== undefined && event.requestId !== state.requestId) {
        return dropEvent(state, "other_request");
    }
    if (event.index < state.nextIndex) {
        // An engine that ignores `resume_from` repeats tokens. They are not delivered again but count as progress.
        return dropEvent({ ...state, progressAtMs: now, attemptHasToken: true }, "already_delivered");
    }
    if (event.index > state.nextIndex) {
        return failAttempt(state, "gap");
    }
    if (event.index >= state.maxTokens) {
        return failAttempt(state, "too_long");
    }
    const next = { ...state, nextIndex: state.nextIndex + 1, progressAtMs: now, attemptHasToken: true };
    return { state: next, decision: { kind: "deliver" } };
}

const dropEvent = (state: StreamState, reason: DropReason): StreamStep => ({
    state,
    decision: { kind: "drop", reason },
});

const failAttempt = (state: StreamState, reason: AttemptFailureReason): StreamStep => ({
    state: { ...state, attemptId: undefined },
    decision: { kind: "broken", reason },
});
