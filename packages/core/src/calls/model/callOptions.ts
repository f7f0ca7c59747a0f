/** Time limits of calls, and safeguards that the proofs disable one at a time. */

/** A reservation that is not started within this time may be taken over. */
export const CALL_RESERVATION_MS = 5_000;
/** Longest time between the response to the `start` write and the first byte of the call. */
export const MAX_SEND_PAUSE_MS = 1_000;
/** Records are kept for seven days. The period is guaranteed to callers. */
export const CALL_RETENTION_MS = 7 * 24 * 3_600_000;
/** Added to the retention by the sweep, so that a wall clock that runs ahead does not shorten it. */
export const CALL_SWEEP_MARGIN_MS = 3_600_000;
/** Answers up to this size are stored in the row, larger ones in the object store. */
export const MAX_ROW_ANSWER_BYTES = 65_536;

/** Safeguards of the guarantees to callers. Each one has a proof that fails when it is disabled. */
export interface CallSafeguards {
    /** Reserve and start the record before the call is sent. */
    readonly reserve: boolean;
    /** Never take over a record that is started. */
    readonly protectStarted: boolean;
    /** Check the deadline before each step. */
    readonly deadlineCheck: boolean;
    /** Check both clocks immediately before the first byte. */
    readonly finalClockCheck: boolean;
    /** Report a call as not run only if no byte of it was sent. */
    readonly accurateNotRun: boolean;
    /** Compare the fingerprints of calls with the same key. */
    readonly fingerprintCheck: boolean;
}

/** Time limits in milliseconds. */
export interface CallOptions {
    readonly reservationMs: number;
    readonly maxSendPauseMs: number;
    /** Time after the caller's deadline for which the host still waits for the answer, to store it for duplicates. */
    readonly lateAnswerMs: number;
    /** Initial and maximum delay between two reads of a record. */
    readonly pollMs: number;
    readonly maxPollMs: number;
    /** Maximum time spent on writing `finished` or `released`. */
    readonly closeRecordMs: number;
    /** Only the proofs pass other values than the defaults; no daemon setting changes them. */
    readonly safeguards: CallSafeguards;
}

export const allCallSafeguards: CallSafeguards = {
    reserve: true,
    protectStarted: true,
    deadlineCheck: true,
    finalClockCheck: true,
    accurateNotRun: true,
    fingerprintCheck: true,
};

export const defaultCallOptions: CallOptions = {
    reservationMs: CALL_RESERVATION_MS,
    maxSendPauseMs: MAX_SEND_PAUSE_MS,
    lateAnswerMs: 60_000,
    pollMs: 50,
    maxPollMs: 1_000,
    closeRecordMs: 30_000,
    safeguards: allCallSafeguards,
};
