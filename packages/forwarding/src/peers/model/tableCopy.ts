import type { SharedTable } from "../../replicas/model/sharedTable.js";

/** Body of the response to a fetch of a table. */
export interface TableCopy {
    /** Version of the sender's replica. */
    readonly version: number;
    /** Whether rows that expired during an outage of the store may still be written again. */
    readonly isAfterOutage: boolean;
    /** Keys of all rows. */
    readonly keys: readonly string[];
    /** Rows that have changed after the requested version: key, version, and value in base64. */
    readonly rows: readonly (readonly [string, number, string])[];
}

/** Builds the copy of a table, with the rows that have changed after a version. */
export function exportTable(table: SharedTable, after: number): TableCopy {
    const { rows, version } = table.getReplica();
    return {
        version,
        isAfterOutage: table.isAfterOutage(),
        keys: [...rows.keys()],
        rows: [...rows.values()]
            .filter(row => row.version > after)
            .map(row => [row.key, row.version, row.value?.toString("base64") ?? ""]),
    };
}
