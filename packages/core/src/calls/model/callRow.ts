/** Record of a call that must not run twice, as stored in the platform table `calls`. */
import type { AttemptId } from "@currantrill/protocol";

/** Table of the call records. */
export const CALLS_TABLE = "calls";

export type CallRowState = "reserved" | "started" | "finished" | "released";

/** Answer of the service, kept for duplicates. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

export interface CallRow {
    readonly state: CallRowState;
    /** The try that wrote the row last, except for the sweep. */
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

export interface VersionedCallRow {
    readonly version: number;
    readonly row: CallRow;
}

/** What identifies a call. Two requests with the same key are the same call. */
export interface CallKey {
    readonly workspace: string;
    readonly service: string;
    /** Method and path prefix of the operation. */
    readonly operation: string;
    readonly idempotencyKey: string;
}

/** Row key of a call. Each part is escaped, so that two different keys never share a row. */
export function formatCallKey(key: CallKey): string {
    return [key.workspace, key.service, key.operation, key.idempotencyKey].map(encodeURIComponent).join("/");
}
