/** A host's replica of one table of the store. Its versions are positions (`toPosition`), and never decrease. */
import type { TableChanges, TableRow } from "../../ports/tableSource.js";

/** Immutable state of a replica. */
export interface TableReplica {
    readonly table: string;
    /** Rows by key; removed rows are absent. */
    readonly rows: ReadonlyMap<string, TableRow>;
    /** Position in the store's change order up to which all changes have been applied; -1 before the first read. */
    readonly version: number;
    /** Position of the newest change of a row of this table; -1 if none is known. */
    readonly lastChangeVersion: number;
}

export interface ReplicaUpdate {
    readonly replica: TableReplica;
    /** Rows that have changed; removed ones have no value. */
    readonly changed: readonly TableRow[];
}

/** Creates an empty replica; its versions are -1 until the first read. */
export const createTableReplica = (table: string): TableReplica => ({
    table,
    rows: new Map(),
    version: -1,
    lastChangeVersion: -1,
});

/**
 * Applies changes that were requested after the replica's version, or after an earlier one: the replica may have adopted
 * a peer's copy since. It is complete up to its version, so that only later changes are applied; an earlier one may be of
 * a row that has been removed since. Of several changes to one row only the last one is applied.
 */
export const applyChanges = (replica: TableReplica, changes: TableChanges): ReplicaUpdate =>
    applyRows(replica, { ...changes, rows: changes.rows.filter(row => row.version > replica.version) });

function applyRows(replica: TableReplica, changes: TableChanges): ReplicaUpdate {
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
            lastChangeVersion: changed.reduce(
                (newest, row) => Math.max(newest, row.version),
                replica.lastChangeVersion,
            ),
        },
        changed,
    };
}

/**
 * Adopts a snapshot of the whole table, from the store or from a peer. Returns `undefined` if it is older than the
 * replica, because a stale read must not bring back removed rows.
 */
export function adoptSnapshot(replica: TableReplica, snapshot: TableChanges): ReplicaUpdate | undefined {
    if (snapshot.version < replica.version) {
        return undefined;
    }
    const present = new Set(snapshot.rows.map(row => row.key));
    const removed = [...replica.rows.values()]
        .filter(row => !present.has(row.key))
        .map((row): TableRow => ({ key: row.key, version: snapshot.version }));
    return applyRows(replica, { version: snapshot.version, rows: [...snapshot.rows, ...removed] });
}

function isNewer(replica: TableReplica, row: TableRow): boolean {
    const known = replica.rows.get(row.key);
    return known === undefined ? row.value !== undefined || row.version > replica.version : row.version > known.version;
}
