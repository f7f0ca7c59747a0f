import type { Clocks } from "@currantrill/protocol";
import type { CallState, CallStep } from "../model/callMachine.js";
import type { CallRowState, VersionedCallRow } from "../model/callRow.js";
import {
    beginPhase,
    endCall,
    joinSteps,
    refuseCall,
    reserveRecord,
    sendCall,
    sendResult,
    startRecord,
    waitBeforeRetry,
} from "./callTransitions.js";

type FoundHandler = (state: CallState, found: VersionedCallRow, now: Clocks) => CallStep;

/** The record was written by this attempt: an earlier write took effect although its response was lost. */
const sameAttemptHandlers: Record<CallRowState, FoundHandler> = {
    reserved: (state, found, now) => startRecord(state, found.version, now),
    started: (state, found, now) => sendCall(state, found.version, now),
    finished: state => endCall(state),
    released: state => endCall(state),
};

/** The record was written by another request with the same key. */
const otherAttemptHandlers: Record<CallRowState, FoundHandler> = {
    reserved: (state, found, now) => {
        const remainingMs = found.row.reservedUntilMs - now.wallMs;
        return remainingMs < 0
            ? reserveRecord(state, found.version, now)
            : waitBeforeRetry(state, "read", remainingMs + 1);
    },
    started: (state, found, now) => {
        const isReservationExpired = found.row.reservedUntilMs < now.wallMs;
        return isReservationExpired && !state.options.safeguards.protectStarted
            ? reserveRecord(state, found.version, now)
            : waitBeforeRetry({ ...state, mayHaveRun: true }, "read");
    },
    finished: (state, { row }) => replayAnswer({ ...state, mayHaveRun: true }, row.answer, row.answerObject),
    released: (state, found, now) => reserveRecord(state, found.version, now),
};

/** Continues a call whose record has been read. */
export function handleFoundRecord(state: CallState, found: VersionedCallRow | undefined, now: Clocks): CallStep {
    if (found === undefined) {
        // A write of this attempt that is still in flight has the same condition, so at most one of the two succeeds.
        return reserveRecord(state, 0, now);
    }
    if (found.row.attempt === state.request.attempt) {
        return sameAttemptHandlers[found.row.state](state, found, now);
    }
    const stateWithoutRecord: CallState = { ...state, heldVersion: undefined };
    if (state.options.safeguards.fingerprintCheck && found.row.fingerprint !== state.request.fingerprint) {
        return refuseCall({ ...stateWithoutRecord, mayHaveRun: false }, "idempotency_key_reused", now);
    }
    return otherAttemptHandlers[found.row.state](stateWithoutRecord, found, now);
}

function replayAnswer(
    state: CallState,
    answer: VersionedCallRow["row"]["answer"],
    answerObject: string | undefined,
): CallStep {
    if (answer !== undefined) {
        return joinSteps(sendResult(state, { outcome: "answered", answer, replayed: true }), endCall);
    }
    if (answerObject === undefined) {
        return joinSteps(sendResult(state, { outcome: "outcome_unknown", code: "answer_not_kept" }), endCall);
    }
    return beginPhase(
        state,
        { name: "loadingAnswer" },
        operation => ({ type: "readObject", operation, key: answerObject }),
    );
}
