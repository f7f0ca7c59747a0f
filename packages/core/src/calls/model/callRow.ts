/** Stored record of a service call that must not run twice: a row of the platform table `calls`. */
import type { AttemptId } from "@currantrill/protocol";

export const CALLS_TABLE = "calls";

/**
 * State of a call record. `reserved`: an attempt has claimed the call but not sent it. `started`: the call may have
 * been sent. `finished`: the endpoint has answered. `released`: the call was not sent, and another request may reserve
 * it.
 */
export type CallRowState = "reserved" | "started" | "finished" | "released";

/** Answer of the service, stored for later requests with the same key. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** Call record, written with every change of its state. The fields are stored under these names. */
export interface CallRow {
    readonly state: CallRowState;
    /** Attempt that wrote the row last, not counting the sweep. */
    readonly attempt: AttemptId;
    /** SHA-256 of method, path, content type and body. */
    readonly fingerprint: string;
    /** Wall-clock time after which another host may take over a record that is `reserved`. */
    readonly reservedUntilMs: number;
    /** Wall-clock time of the last write. The retention counts from it. */
    readonly writtenAtMs: number;
    readonly answer?: StoredAnswer;
    /** Key of the answer in the object store, if it is too large for the row. */
    readonly answerObject?: string;
}

/** Call record with the row version that a conditional write names. */
export interface VersionedCallRow {
    readonly version: number;
    readonly row: CallRow;
}

/** Identity of a call. Two requests with the same key are the same call. */
export interface CallKey {
    readonly workspace: string;
    readonly service: string;
    /** Method and path prefix of the operation. */
    readonly operation: string;
    readonly idempotencyKey: string;
}

/** Formats the row key of a call. Each component is escaped, so that different keys never share a row. */
export function formatCallKey(key: CallKey): string {
    return [key.workspace, key.service, key.operation, key.idempotencyKey].map(encodeURIComponent).join("/");
}
