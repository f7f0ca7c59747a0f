/** Transitions of the call machine. Each returns the new state and the effects whose results lead out of it. */
import type { Clocks } from "@currantrill/protocol";
import { measureElapsed } from "@currantrill/protocol";
import type { CallEffect, CallErrorCode, CallPhase, CallResult, CallState, CallStep } from "../model/callMachine.js";
import type { CallRow, CallRowState, StoredAnswer } from "../model/callRow.js";
import { computeSendLimit, getRemainingMs } from "../queries/canSendCall.js";

/** Enters a phase and issues the effect whose result ends it. */
export function beginPhase(
    state: CallState,
    phase: CallPhase,
    createEffect: (operation: number) => CallEffect,
): CallStep {
    const operation = state.nextOperation;
    return { state: { ...state, phase, operation, nextOperation: operation + 1 }, effects: [createEffect(operation)] };
}

export const endCall = (state: CallState): CallStep => ({
    state: { ...state, phase: { name: "ended" } },
    effects: [{ type: "end" }],
});

/** Continues with `next` after the effects of `step`. */
export function joinSteps(step: CallStep, next: (state: CallState) => CallStep): CallStep {
    const following = next(step.state);
    return { state: following.state, effects: [...step.effects, ...following.effects] };
}

/** Answers the caller, unless it was already answered at its deadline. */
export function sendResult(state: CallState, result: CallResult): CallStep {
    return state.answered
        ? { state, effects: [] }
        : { state: { ...state, answered: true }, effects: [{ type: "answerCaller", result }] };
}

/** Aborts a call of which no byte was sent. This attempt's record, if any, is released for other requests. */
export function refuseCall(state: CallState, code: CallErrorCode, now: Clocks): CallStep {
    const outcome = state.mayHaveRun ? "outcome_unknown" : "not_run";
    return joinSteps(
        sendResult(state, { outcome, code }),
        next => next.heldVersion === undefined ? endCall(next) : closeRecord(next, "released", now),
    );
}

/** Writes `reserved` over the given version of the record. */
export function reserveRecord(state: CallState, version: number, now: Clocks): CallStep {
    if (isExpired(state, now)) {
        return refuseCall(state, "timeout", now);
    }
    return writeRecord(
        { ...state, mayHaveRun: false },
        { name: "reserving" },
        version,
        createRow(state, "reserved", now),
    );
}

/** Writes `started` over the given version of this attempt's reservation. */
export function startRecord(state: CallState, version: number, now: Clocks): CallStep {
    const held: CallState = { ...state, heldVersion: version };
    if (isExpired(held, now)) {
        return refuseCall(held, "timeout", now);
    }
    return writeRecord(held, { name: "starting" }, version, createRow(state, "started", now));
}

/** `version` is that of this attempt's `started` record. */
export function sendCall(state: CallState, version: number, now: Clocks): CallStep {
    const held: CallState = { ...state, heldVersion: version };
    if (isExpired(held, now)) {
        return refuseCall(held, "timeout", now);
    }
    const limit = computeSendLimit(held, now);
    const { attempt } = state.request;
    return beginPhase(held, { name: "sending" }, operation => ({ type: "sendCall", operation, attempt, limit }));
}

export const readRecord = (state: CallState): CallStep =>
    beginPhase(state, { name: "reading" }, operation => ({ type: "readRow", operation, key: state.request.rowKey }));

/** Waits with exponential backoff, so that waiting calls do not overload a store that is recovering. */
export function waitBeforeRetry(state: CallState, next: "read" | "close", maxDelayMs = Infinity): CallStep {
    const { maxPollMs } = state.options;
    const delayMs = Math.min(state.pollDelayMs, maxDelayMs);
    const pollDelayMs = Math.min(2 * state.pollDelayMs, maxPollMs);
    return beginPhase(
        { ...state, pollDelayMs },
        { name: "pausing", next },
        operation => ({ type: "wait", operation, delayMs }),
    );
}

/** Writes the final state of this attempt's record. */
export function closeRecord(
    state: CallState,
    rowState: "finished" | "released",
    now: Clocks,
    storedAnswer: Pick<CallRow, "answer" | "answerObject"> = {},
): CallStep {
    const row: CallRow = { ...createRow(state, rowState, now), ...storedAnswer };
    const closing = { version: state.heldVersion ?? 0, row, startedAt: now };
    return writeClosingRecord({ ...state, closing, pollDelayMs: state.options.pollMs }, now);
}

/** Writes the closing record. The write is conditional on the version, so that a retry is harmless. */
export function writeClosingRecord(state: CallState, now: Clocks): CallStep {
    const { closing } = state;
    if (closing === undefined || measureElapsed(closing.startedAt, now) > state.options.closeRecordMs) {
        return endCall(state);
    }
    return writeRecord(state, { name: "closing" }, closing.version, closing.row);
}

/** Sends the endpoint's answer to the caller and stores it for duplicates. */
export function recordAnswer(state: CallState, answer: StoredAnswer, maxRowBytes: number, now: Clocks): CallStep {
    return joinSteps(sendResult(state, { outcome: "answered", answer, replayed: false }), next => {
        if (next.heldVersion === undefined) {
            return endCall(next);
        }
        if (Buffer.byteLength(answer.body) <= maxRowBytes) {
            return closeRecord(next, "finished", now, { answer });
        }
        const key = getAnswerKey(state);
        return beginPhase(
            next,
            { name: "storingAnswer" },
            operation => ({ type: "writeObject", operation, key, answer }),
        );
    });
}

/** Returns the object key of this attempt's answer. The attempt id makes it unique, so that nothing is overwritten. */
export const getAnswerKey = (state: CallState): string => `calls/${state.request.attempt}`;

/** Whether the caller's deadline has passed. Always false if the deadline check is disabled. */
export function isExpired(state: CallState, now: Clocks): boolean {
    return state.options.safeguards.deadlineCheck && getRemainingMs(state, now) <= 0;
}

function writeRecord(state: CallState, phase: CallPhase, version: number, row: CallRow): CallStep {
    return beginPhase(
        state,
        phase,
        operation => ({ type: "writeRow", operation, key: state.request.rowKey, version, row }),
    );
}

function createRow(state: CallState, rowState: CallRowState, now: Clocks): CallRow {
    return {
        state: rowState,
        attempt: state.request.attempt,
        fingerprint: state.request.fingerprint,
        reservedUntilMs: now.wallMs + state.options.reservationMs,
        writtenAtMs: now.wallMs,
    };
}
