import type { Recovery } from "../../replicas/model/recoveryTracker.js";
import type { SharedTable } from "../../replicas/model/sharedTable.js";

/** Body of the response to a fetch of a table. */
export interface TableCopy {
    /** Version of the sender's replica. */
    readonly version: number;
    /** Whether rows that expired during an outage of the store may still be written again. Older builds read only this. */
    readonly isAfterOutage: boolean;
    /** The end of that outage. Absent in copies of older builds. */
    readonly recovery?: Recovery;
    /** Keys of all rows. */
    readonly keys: readonly string[];
    /** Rows that have changed after the requested version: key, version, and value in base64. */
    readonly rows: readonly (readonly [string, number, string])[];
}

/** Returns the end of the outage that a copy is marked with. An older build's copy may be of any time around it. */
export const getCopyRecovery = ({ version, isAfterOutage, recovery }: TableCopy): Recovery | undefined =>
    isAfterOutage ? recovery ?? { version, remainingMs: Infinity } : undefined;

/** Builds the copy of a table, with the rows that have changed after a version. */
export function exportTable(table: SharedTable, after: number): TableCopy {
    const { rows, version } = table.getReplica();
    const recovery = table.getRecovery();
    return {
        version,
        isAfterOutage: recovery !== undefined,
        ...(recovery === undefined ? {} : { recovery }),
        keys: [...rows.keys()],
        rows: [...rows.values()]
            .filter(row => row.version > after)
            .map(row => [row.key, row.version, row.value?.toString("base64") ?? ""]),
    };
}
