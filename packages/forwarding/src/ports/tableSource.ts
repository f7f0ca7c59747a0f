/** A row of a table in the platform's store. */
export interface TableRow {
    readonly key: string;
    /** Absent for a removed row. */
    readonly value?: Buffer;
    /** Position of the row's last change in the store's change order, see `toPosition`. */
    readonly version: number;
}

/** Rows of a table, or changes to them. */
export interface TableChanges {
    readonly rows: readonly TableRow[];
    /** Position in the store's change order after which to continue, see `toPosition`. */
    readonly version: number;
}

/** Access to the tables of the platform's store. */
export interface TableSource {
    /** Reads a whole table. Rejects if the store does not respond. */
    readTable(table: string): Promise<TableChanges>;
    /**
     * Waits up to `waitMs` for changes after a position. Resolves with `undefined` if the store no longer has the
     * history from there on, or has been restored from an older copy since.
     */
    awaitChanges(table: string, afterVersion: number, waitMs: number): Promise<TableChanges | undefined>;
    /** Writes a row unconditionally. */
    putRow(table: string, key: string, value: Buffer): Promise<void>;
    /**
     * Writes a row if its last change still is at a position; 0 if it must not exist. Resolves with whether it was
     * written. Rejects if that is unknown.
     */
    replaceRow(table: string, key: string, value: Buffer, expectedVersion: number): Promise<boolean>;
    /** Removes a row unconditionally. */
    removeRow(table: string, key: string): Promise<void>;
}

/** Address and limits of the access to a store. */
export interface TableSourceOptions {
    /** IP address and port of the store. */
    readonly address: string;
    /** Timeout of a call, in addition to the time that it waits for changes. */
    readonly callTimeoutMs: number;
    /** Limit on the backoff between calls while the store fails. */
    readonly maxBackoffMs: number;
    /** Called after each call, for metrics. */
    readonly onCall: (operation: string, outcome: string) => void;
    /** Called with the number of the store's history in each response; it rises when an older copy is restored. */
    readonly onEra: (era: number) => void;
}

/** Creates the access to a store. */
export type CreateTableSource = (options: TableSourceOptions) => TableSource;
