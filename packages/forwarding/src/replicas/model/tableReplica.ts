/** A host's copy of one table of the store. Versions only move forward. */
import type { TableChanges, TableRow } from "../../ports/tableSource.js";

export interface TableReplica {
    readonly table: string;
    readonly rows: ReadonlyMap<string, TableRow>;
    /** Position in the store's order up to which all changes are known. */
    readonly version: number;
    /** Position of the newest change of this table that is known. */
    readonly changedAt: number;
}

export interface ReplicaStep {
    readonly replica: TableReplica;
    /** Rows that changed, removed ones without a value. */
    readonly changed: readonly TableRow[];
}

/** `version` -1: nothing is known yet. */
export const createTableReplica = (table: string): TableReplica => ({
    table,
    rows: new Map(),
    version: -1,
    changedAt: -1,
});

/**
 * Applies changes that follow the replica's position. Rows that are known as newer are left as they are, and of several
 * changes of one row only the newest counts.
 */
export function applyChanges(replica: TableReplica, changes: TableChanges): ReplicaStep {
    const rows = new Map(replica.rows);
    const newest = new Map(changes.rows.map(row => [row.key, row]));
    const changed = [...newest.values()].filter(row => isNewer(replica, row));
    for (const row of changed) {
        if (row.value === undefined) {
            rows.delete(row.key);
            continue;
        }
        rows.set(row.key, row);
    }
    return {
        replica: {
            table: replica.table,
            rows,
            version: Math.max(replica.version, changes.version),
            changedAt: changed.reduce((newest, row) => Math.max(newest, row.version), replica.changedAt),
        },
        changed,
    };
}

/**
 * Adopts a full read, of the store or of a peer. Returns `undefined` for one that is older than the replica: a stale
 * read must not bring back what has been removed.
 */
export function adoptSnapshot(replica: TableReplica, snapshot: TableChanges): ReplicaStep | undefined {
    if (snapshot.version < replica.version) {
        return undefined;
    }
    const present = new Set(snapshot.rows.map(row => row.key));
    const removed = [...replica.rows.values()]
        .filter(row => !present.has(row.key))
        .map((row): TableRow => ({ key: row.key, version: snapshot.version }));
    return applyChanges(replica, { version: snapshot.version, rows: [...snapshot.rows, ...removed] });
}

function isNewer(replica: TableReplica, row: TableRow): boolean {
    const known = replica.rows.get(row.key);
    return known === undefined ? row.value !== undefined || row.version > replica.version : row.version > known.version;
}
