/** State of the platform stand-in: tables, objects and the host list, all in memory. */
import type { ListedHost, TableRow, Transaction } from "@currantrill/protocol";
import { createTokenBucket, type TokenBucket } from "../../model/tokenBucket.js";

/** Stored data, and the rate limits of its use. */
export interface PlatformState {
    readonly tables: Map<string, Map<string, TableRow>>;
    /** Last version of each row by `<table>/<key>`. Kept after a delete, so that a row never has the same version twice. */
    readonly versions: Map<string, number>;
    readonly objects: Map<string, string>;
    readonly hosts: Map<string, ListedHost>;
    /** Rate limit of all requests except GET. */
    readonly writes: TokenBucket;
    /** Rate limit of GET requests. */
    readonly reads: TokenBucket;
}

/** Creates an empty platform with the given maximum request rates. */
export const createPlatformState = (writesPerSecond: number, readsPerSecond: number): PlatformState => ({
    tables: new Map(),
    versions: new Map(),
    objects: new Map(),
    hosts: new Map(),
    writes: createTokenBucket(writesPerSecond),
    reads: createTokenBucket(readsPerSecond),
});

/** Returns the rows of a table by key. A table is created on first use. */
export function getTable(state: PlatformState, name: string): Map<string, TableRow> {
    const table = state.tables.get(name) ?? new Map<string, TableRow>();
    state.tables.set(name, table);
    return table;
}

/** A condition of a transaction that does not hold. */
export interface RowConflict {
    readonly table: string;
    readonly key: string;
    /** Current version of the row; 0 if it does not exist. */
    readonly version: number;
}

/** Lists the rows whose version differs from the one that the transaction requires. */
export const listConflicts = (state: PlatformState, transaction: Transaction): RowConflict[] =>
    transaction.conditions
        .map(condition => ({ condition, version: getTable(state, condition.table).get(condition.key)?.version ?? 0 }))
        .filter(({ condition, version }) => condition.version !== version)
        .map(({ condition: { table, key }, version }) => ({ table, key, version }));

/** Applies the writes of a transaction; the value `null` deletes a row. Returns the new versions by `<table>/<key>`. */
export function applyWrites(state: PlatformState, transaction: Transaction): Record<string, number> {
    const versionByRow: Record<string, number> = {};
    for (const { table, key, value } of transaction.writes) {
        const versionKey = `${table}/${key}`;
        const version = (state.versions.get(versionKey) ?? 0) + 1;
        state.versions.set(versionKey, version);
        versionByRow[versionKey] = version;
        if (value === null) {
            getTable(state, table).delete(key);
        }
        else {
            getTable(state, table).set(key, { key, version, value });
        }
    }
    return versionByRow;
}
