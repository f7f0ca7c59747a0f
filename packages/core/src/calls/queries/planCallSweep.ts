import { CALL_RETENTION_MS, CALL_SWEEP_MARGIN_MS } from "../model/callOptions.js";
import type { VersionedCallRow } from "../model/callRow.js";

/** Call record as listed from the table, with its row key. */
export interface ListedCallRow extends VersionedCallRow {
    readonly key: string;
}

/** A conditional delete of a record, and the stored answer to delete after it. */
export interface CallDeletion {
    readonly key: string;
    readonly version: number;
    readonly answerObject: string | undefined;
}

export interface CallSweepOptions {
    /** Maximum number of records deleted by one sweep. */
    readonly limit?: number | undefined;
    /** Only the proofs pass another retention than the guaranteed one. */
    readonly retentionMs?: number | undefined;
}

const DEFAULT_LIMIT = 100;

/**
 * Lists the records whose retention has ended, oldest first. The version makes a delete fail if the record was written
 * after it was listed.
 */
export function planCallSweep(
    rows: readonly ListedCallRow[],
    wallMs: number,
    { limit = DEFAULT_LIMIT, retentionMs = CALL_RETENTION_MS }: CallSweepOptions = {},
): CallDeletion[] {
    const expiryCutoffMs = wallMs - retentionMs - CALL_SWEEP_MARGIN_MS;
    return rows
        .filter(({ row }) => row.writtenAtMs < expiryCutoffMs)
        .sort((a, b) => a.row.writtenAtMs - b.row.writtenAtMs)
        .slice(0, limit)
        .map(({ key, version, row }) => ({ key, version, answerObject: row.answerObject }));
}
