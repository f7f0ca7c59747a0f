/** Tables of the platform's store, as replicas read them. */
export interface TableRow {
    readonly key: string;
    /** Absent for a removed row. */
    readonly value?: Buffer;
    /** Position of the last change in the store's order. */
    readonly version: number;
}

export interface TableChanges {
    readonly rows: readonly TableRow[];
    /** Position from which to go on. */
    readonly version: number;
}

export interface TableSource {
    /** Reads a whole table. Rejects if the store does not answer. */
    readTable(table: string): Promise<TableChanges>;
    /** Waits for changes after a position, up to `waitMs`. `undefined` if the store no longer has that history. */
    awaitChanges(table: string, afterVersion: number, waitMs: number): Promise<TableChanges | undefined>;
    /** Writes a row without a condition. */
    putRow(table: string, key: string, value: Buffer): Promise<void>;
}

export interface TableSourceOptions {
    /** IP address and port of the store. */
    readonly address: string;
    /** Limit on a call, beyond the time that it waits at the store. */
    readonly callTimeoutMs: number;
    /** Longest pause between calls while the store fails. */
    readonly maxBackoffMs: number;
    readonly onCall: (operation: string, outcome: string) => void;
}

/** Connects to the store. */
export type CreateTableSource = (options: TableSourceOptions) => TableSource;
