/** Keeps a replica up to date: a full read, then the feed; a full read again where the feed has a gap. */
import type Logger from "bunyan";
import type { TableChanges, TableRow, TableSource } from "../../ports/tableSource.js";
import { adoptSnapshot, applyChanges, createTableReplica, type TableReplica } from "../model/tableReplica.js";

/** Wait after a failed call to the store; grows up to the second value. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 800;
/** Wait after a read that was older than the replica. */
const STALE_READ_WAIT_MS = 250;

export interface TrackTableOptions {
    readonly table: string;
    readonly source: TableSource;
    readonly log: Logger;
    /** Time of one wait on the feed. A connection that went silent is noticed after it and the source's own limit. */
    readonly getWaitMs: () => number;
    /** Called with changed rows. `afterOutage` is true for the first changes since the store was lost. */
    readonly onChange: (changed: readonly TableRow[], afterOutage: boolean) => void;
}

export interface TrackedTable {
    readonly getReplica: () => TableReplica;
    /** Whether the last call to the store succeeded. */
    readonly isReachable: () => boolean;
    /** Takes over a peer's copy if it is newer. Returns whether it was. */
    readonly adoptFromPeer: (snapshot: TableChanges) => boolean;
    readonly stop: () => void;
}

/** Starts to follow a table until it is stopped. */
export function trackTable(options: TrackTableOptions): TrackedTable {
    const { table, source, log, onChange } = options;
    let replica = createTableReplica(table);
    let isStopped = false;
    let isSynced = false;
    let isReachable = true;
    let failures = 0;

    const publish = (step: { replica: TableReplica; changed: readonly TableRow[]; }, afterOutage: boolean): void => {
        replica = step.replica;
        if (step.changed.length > 0) {
            onChange(step.changed, afterOutage);
        }
    };
    const readAll = async (): Promise<void> => {
        const step = adoptSnapshot(replica, await source.readTable(table));
        if (step === undefined) {
            log.warn({ table, version: replica.version }, "replica: store read is older than what is known, ignored");
            await sleep(STALE_READ_WAIT_MS);
            return;
        }
        isSynced = true;
        recordReachable();
        publish(step, failures > 0);
        failures = 0;
    };
    const readFeed = async (): Promise<void> => {
        const changes = await source.awaitChanges(table, replica.version, options.getWaitMs());
        if (changes === undefined) {
            log.warn({ table, version: replica.version }, "replica: history is gone, reading the whole table");
            isSynced = false;
            return;
        }
        recordReachable();
        publish(applyChanges(replica, changes), failures > 0);
        failures = 0;
    };
    const recordReachable = (): void => {
        if (!isReachable) {
            log.info({ table, version: replica.version }, "replica: store regained");
        }
        isReachable = true;
    };
    const recordFailure = (error: unknown): void => {
        if (isReachable) {
            log.warn({ err: error, table, version: replica.version }, "replica: store lost");
        }
        isReachable = false;
        failures += 1;
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            try {
                await (isSynced ? readFeed() : readAll());
            }
            catch (error) {
                recordFailure(error);
                await sleep(
                    Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.min(failures, 5)) * (0.5 + Math.random() / 2),
                );
            }
        }
    };
    void run();
    return {
        getReplica: () => replica,
        isReachable: () => isReachable,
        adoptFromPeer: snapshot => {
            const step = snapshot.version > replica.version ? adoptSnapshot(replica, snapshot) : undefined;
            if (step === undefined) {
                return false;
            }
            log.info({ table, version: snapshot.version, from: replica.version }, "replica: adopted from a peer");
            publish(step, !isReachable);
            return true;
        },
        stop: () => {
            isStopped = true;
        },
    };
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
