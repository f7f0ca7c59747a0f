/** State of the platform stand-in. */
import type { ListedHost, TableRow, Transaction } from "@currantrill/protocol";
import { createRateLimit, type RateLimit } from "../../model/rateLimit.js";

export interface PlatformState {
    readonly tables: Map<string, Map<string, TableRow>>;
    /** Last version of each row, kept after a delete so that versions never repeat. */
    readonly versions: Map<string, number>;
    readonly objects: Map<string, string>;
    readonly hosts: Map<string, ListedHost>;
    readonly writes: RateLimit;
    readonly reads: RateLimit;
}

export const createPlatformState = (writesPerSecond: number, readsPerSecond: number): PlatformState => ({
    tables: new Map(),
    versions: new Map(),
    objects: new Map(),
    hosts: new Map(),
    writes: createRateLimit(writesPerSecond),
    reads: createRateLimit(readsPerSecond),
});

/** Rows of a table, which exists from its first use. */
export function getTable(state: PlatformState, name: string): Map<string, TableRow> {
    const table = state.tables.get(name) ?? new Map<string, TableRow>();
    state.tables.set(name, table);
    return table;
}

export interface RowConflict {
    readonly table: string;
    readonly key: string;
    /** Version that the row has. */
    readonly version: number;
}

/** Conditions of a transaction that do not hold. */
export const listConflicts = (state: PlatformState, transaction: Transaction): RowConflict[] =>
    transaction.conditions
        .map(condition => ({ condition, version: getTable(state, condition.table).get(condition.key)?.version ?? 0 }))
        .filter(({ condition, version }) => condition.version !== version)
        .map(({ condition: { table, key }, version }) => ({ table, key, version }));

/** Executes the writes of a transaction. Returns the new versions by `<table>/<key>`. */
export function applyWrites(state: PlatformState, transaction: Transaction): Record<string, number> {
    const result: Record<string, number> = {};
    for (const { table, key, value } of transaction.writes) {
        const versionKey = `${table}/${key}`;
        const version = (state.versions.get(versionKey) ?? 0) + 1;
        state.versions.set(versionKey, version);
        result[versionKey] = version;
        if (value === null) {
            getTable(state, table).delete(key);
        }
        else {
            getTable(state, table).set(key, { key, version, value });
        }
    }
    return result;
}
