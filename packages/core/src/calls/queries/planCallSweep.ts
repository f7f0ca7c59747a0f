import { CALL_RETENTION_MS, CALL_SWEEP_MARGIN_MS } from "../model/callOptions.js";
import type { VersionedCallRow } from "../model/callRow.js";

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
    /** Most records of one sweep. */
    readonly limit?: number | undefined;
    /** Only the proofs pass another retention than the promised one. */
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
    const endedBeforeMs = wallMs - retentionMs - CALL_SWEEP_MARGIN_MS;
    return rows
        .filter(({ row }) => row.writtenAtMs < endedBeforeMs)
        .sort((a, b) => a.row.writtenAtMs - b.row.writtenAtMs)
        .slice(0, limit)
        .map(({ key, version, row }) => ({ key, version, answerObject: row.answerObject }));
}
