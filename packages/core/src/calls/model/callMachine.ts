/**
 * Interface of the state machine of one call. A driver starts it with `beginCall`, carries out the effects that it
 * returns and passes each result to `advanceCall`. Every effect with an `operation` is answered by one event with the
 * same number; the machine ignores events of operations that it no longer awaits.
 */
import type { AttemptId } from "@currantrill/protocol";
import type { Clocks } from "@currantrill/protocol";
import type { CallOptions } from "./callOptions.js";
import type { CallRow, StoredAnswer, VersionedCallRow } from "./callRow.js";

export interface CallRequest {
    /** Row key from `formatCallKey`. */
    readonly rowKey: string;
    /** Unique to this request on this host. */
    readonly attempt: AttemptId;
    readonly fingerprint: string;
    /** Time from `beginCall` within which the caller is answered. */
    readonly timeoutMs: number;
}

/** Answer to the caller. `replayed` is set for the stored answer of an earlier request with the same key. */
export type CallResult =
    | { readonly outcome: "answered"; readonly answer: StoredAnswer; readonly replayed: boolean; }
    | { readonly outcome: "not_run" | "outcome_unknown"; readonly code: CallErrorCode; };

/** Cause of a result without an answer, as reported to the caller. */
export type CallErrorCode =
    | "idempotency_key_reused"
    | "store_unavailable"
    | "timeout"
    | "endpoint_unreachable"
    | "connection_lost"
    | "answer_not_kept";

/** Latest readings of both clocks at which the first byte may be sent. */
export interface SendLimit {
    readonly wallMs: number;
    readonly monotonicMs: number;
}

/** Action that the machine requests from its driver. */
export type CallEffect =
    /** Conditional write of the record; `version` 0 means that the row must be absent. */
    | {
        readonly type: "writeRow";
        readonly operation: number;
        readonly key: string;
        readonly version: number;
        readonly row: CallRow;
    }
    | { readonly type: "readRow"; readonly operation: number; readonly key: string; }
    | { readonly type: "writeObject"; readonly operation: number; readonly key: string; readonly answer: StoredAnswer; }
    | { readonly type: "readObject"; readonly operation: number; readonly key: string; }
    /**
     * Sends the call to the endpoint. Immediately before the first byte the driver calls `canSendCall(limit, clocks)`;
     * if it refuses, the driver sends nothing and answers `callFailed` with `bytesSent: false`.
     */
    | { readonly type: "sendCall"; readonly operation: number; readonly attempt: AttemptId; readonly limit: SendLimit; }
    /** A timer. The driver answers with `timerFired`. */
    | { readonly type: "wait"; readonly operation: number; readonly delayMs: number; }
    /** Appears exactly once for each call. */
    | { readonly type: "answerCaller"; readonly result: CallResult; }
    /** Last effect of every call. A draining host waits for it. */
    | { readonly type: "end"; };

/** Result of an effect, passed to `advanceCall`. */
export type CallEvent =
    | { readonly type: "rowWritten"; readonly operation: number; readonly version: number; }
    /** The stored row has another version; nothing was written. */
    | { readonly type: "rowConflict"; readonly operation: number; }
    /** The store rejected the write without executing it. */
    | { readonly type: "writeRefused"; readonly operation: number; }
    /** No response. The write may have taken effect, or may do so later. */
    | { readonly type: "writeLost"; readonly operation: number; }
    | { readonly type: "rowRead"; readonly operation: number; readonly found: VersionedCallRow | undefined; }
    | { readonly type: "readFailed"; readonly operation: number; }
    | { readonly type: "objectWritten"; readonly operation: number; }
    | { readonly type: "objectRead"; readonly operation: number; readonly answer: StoredAnswer; }
    | { readonly type: "objectFailed"; readonly operation: number; }
    | { readonly type: "callAnswered"; readonly operation: number; readonly answer: StoredAnswer; }
    | { readonly type: "callFailed"; readonly operation: number; readonly bytesSent: boolean; }
    | { readonly type: "timerFired"; readonly operation: number; };

/** Phase of the machine. Only `sending` and `storingAnswer` require a confirmed write of `started`. */
export type CallPhase =
    | { readonly name: "reserving"; }
    /** Reads the record because a write conflicted, its response was lost, or another request holds it. */
    | { readonly name: "reading"; }
    /** Waits before it reads the record, or before it writes the closing record again. */
    | { readonly name: "pausing"; readonly next: "read" | "close"; }
    | { readonly name: "starting"; }
    | { readonly name: "sending"; }
    | { readonly name: "storingAnswer"; }
    /** Reads the stored answer of an earlier request from the object store. */
    | { readonly name: "loadingAnswer"; }
    /** Writes `finished` or `released`. */
    | { readonly name: "closing"; }
    /** Reads the record to release one whose version is not known. */
    | { readonly name: "checkingRelease"; }
    | { readonly name: "ended"; };

/** The record that closes the call, kept until its write is confirmed. */
export interface ClosingRecord {
    /** Version of the record that it replaces. */
    readonly version: number;
    readonly row: CallRow;
    readonly startedAt: Clocks;
}

/** State of one call. It is immutable; each event yields a new one. */
export interface CallState {
    readonly request: CallRequest;
    readonly options: CallOptions;
    readonly startedAt: Clocks;
    readonly phase: CallPhase;
    /** Number of the effect whose result the phase awaits. */
    readonly operation: number;
    /** Number of the timer for the caller's deadline; after the deadline, of the timer for a late answer. */
    readonly deadlineOperation: number;
    readonly nextOperation: number;
    readonly answered: boolean;
    /** Whether another request with the same key was last seen `started` or `finished`. */
    readonly mayHaveRun: boolean;
    /** Version of this attempt's `reserved` or `started` record, if known. */
    readonly heldVersion: number | undefined;
    readonly pollDelayMs: number;
    readonly closing: ClosingRecord | undefined;
}

/** New state, and the effects that the driver carries out in this order. */
export interface CallStep {
    readonly state: CallState;
    readonly effects: readonly CallEffect[];
}
