/** Synchronizes tables between hosts, for hosts that do not receive changes from the store. */
import type Logger from "bunyan";
import type { SharedTable } from "../../replicas/model/sharedTable.js";
import { createTableFetcher, type TableFetcher, type TableFetcherOptions } from "./createTableFetcher.js";
import { serveTableCopies, type TableServerOptions } from "./serveTableCopies.js";

export interface TableSynchronization extends TableFetcher {
    /** Returns the version of the newest change that this host knows, by table. */
    readonly getLastChangeVersions: () => Readonly<Record<string, number>>;
    readonly close: () => Promise<void>;
}

export type TableSynchronizationOptions = TableServerOptions & Pick<TableFetcherOptions, "onFetch">;

/**
 * Serves copies of tables over HTTP on the peer address, and fetches newer ones from peers. Rejects if the address
 * cannot be bound.
 */
export async function startTableSynchronization(
    address: string,
    tables: ReadonlyMap<string, SharedTable>,
    log: Logger,
    { onFetch, ...guard }: TableSynchronizationOptions = {},
): Promise<TableSynchronization> {
    const server = await serveTableCopies(address, tables, guard);
    return {
        ...createTableFetcher({ tables, log, onFetch }),
        getLastChangeVersions: () =>
            Object.fromEntries([...tables].map(([name, table]) => [name, table.getReplica().lastChangeVersion])),
        close: () => server.close(),
    };
}
