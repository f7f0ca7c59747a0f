/**
 * Keeps a replica up to date: reads the whole table, then follows the change feed. Reads the whole table again if the
 * store no longer has the history that the feed needs.
 */
import type Logger from "bunyan";
import { formatPosition, getEra } from "../../ports/storePosition.js";
import type { TableChanges, TableRow, TableSource } from "../../ports/tableSource.js";
import { createOutageTracker } from "../model/outageTracker.js";
import type { SharedTable } from "../model/sharedTable.js";
import {
    adoptSnapshot,
    applyChanges,
    createTableReplica,
    type ReplicaUpdate,
    type TableReplica,
} from "../model/tableReplica.js";

/** Time after an outage of the store in which rows that expired during it may be written again. */
const EXPIRED_ROWS_GRACE_MS = 2_300;
/** Interval at which a host that copies from peers checks whether it has to follow the feed itself. */
const COPYING_CHECK_MS = 100;
/** Time after which a host that waits for a peer's first copy reads the store itself. */
const FIRST_COPY_MS = 3_000;
/** Delay after a read that was older than the replica. */
const STALE_READ_DELAY_MS = 250;

export interface TrackTableOptions {
    readonly table: string;
    readonly source: TableSource;
    readonly log: Logger;
    /**
     * Returns the longest wait of the next call to the feed, in milliseconds. An unresponsive connection is detected
     * after it plus the source's call timeout.
     */
    readonly getWaitMs: () => number;
    /** Returns whether this host follows the feed itself; otherwise it receives changes through `adoptFromPeer`. */
    readonly shouldFollow: () => boolean;
    /** Whether peers provide copies of the table. A table without copies is only read by hosts that follow it. */
    readonly isCopied: boolean;
    /** Returns the pause after changes in milliseconds, so that the next ones arrive in one batch. */
    readonly getBatchDelayMs: () => number;
    /**
     * Called with changed rows. `afterOutage` is true for the first changes after an outage of the store: rows that
     * expired meanwhile may be written again.
     */
    readonly onChange: (changed: readonly TableRow[], afterOutage: boolean) => void;
    /** Called when the replica has been replaced by that of a store which was restored from an older copy. */
    readonly onRestored: (era: number) => void;
}

export interface TrackedTable extends SharedTable {
    /** Returns whether the last call to the store failed. */
    readonly isStoreUnavailable: () => boolean;
    /** Stops following the table. */
    readonly stop: () => void;
}

/** Starts to follow a table, until `stop` is called. */
export function trackTable(options: TrackTableOptions): TrackedTable {
    const { table, source, log, onChange } = options;
    let replica = createTableReplica(table);
    let isStopped = false;
    let isSynced = false;
    const startedAtMs = performance.now();
    const outage = createOutageTracker(table, log);
    let expiredRowsGraceEndsAtMs = -Infinity;

    const adopt = (update: ReplicaUpdate, wasUnavailable: boolean): void => {
        const previous = replica.version;
        const isRestored = previous >= 0 && getEra(update.replica.version) > getEra(previous);
        const afterOutage = wasUnavailable || isRestored;
        replica = update.replica;
        if (afterOutage) {
            expiredRowsGraceEndsAtMs = performance.now() + EXPIRED_ROWS_GRACE_MS;
        }
        // An empty first copy counts too: what appears after it is new.
        if (update.changed.length > 0 || previous < 0) {
            onChange(update.changed, afterOutage);
        }
        if (isRestored) {
            reportRestored(options, previous, replica.version);
        }
    };
    const readAll = async (): Promise<void> => {
        // A peer's copy may change the replica while the read is in progress.
        const snapshot = await source.readTable(table);
        const update = adoptSnapshot(replica, snapshot);
        if (update !== undefined) {
            isSynced = true;
            adopt(update, outage.end(replica.version));
            return;
        }
        logStaleRead(log, replica, snapshot);
        await sleep(STALE_READ_DELAY_MS);
    };
    const isCopyOverdue = (): boolean =>
        options.isCopied && replica.version < 0 && performance.now() - startedAtMs > FIRST_COPY_MS;
    const isCopyingFromPeers = (): boolean =>
        outage.countFailures() === 0 && !options.shouldFollow() && !isCopyOverdue();
    const readFeed = async (): Promise<void> => {
        // After a failure, a call that returns at once is the fastest way to notice that the store is available again.
        const waitMs = outage.countFailures() > 0 ? 0 : options.getWaitMs();
        const changes = await source.awaitChanges(table, replica.version, waitMs);
        if (changes === undefined) {
            log.warn(
                { table, version: formatPosition(replica.version) },
                "replica: history not available, reading the whole table",
            );
            isSynced = false;
            return;
        }
        adopt(applyChanges(replica, changes), outage.end(replica.version));
        if (changes.rows.length > 0) {
            await sleep(options.getBatchDelayMs());
        }
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            await (isCopyingFromPeers() ? sleep(COPYING_CHECK_MS) : isSynced ? readFeed() : readAll())
                .catch((error: unknown) => {
                    outage.recordFailure(error, replica.version);
                    return sleep(outage.getRetryDelayMs());
                });
        }
    };
    void run();
    return {
        getReplica: () => replica,
        isAfterOutage: () => performance.now() < expiredRowsGraceEndsAtMs,
        isFollowing: () => outage.countFailures() === 0 && !isCopyingFromPeers(),
        isStoreUnavailable: () => outage.countFailures() > 0,
        adoptFromPeer: (snapshot, afterOutage) => {
            const update = snapshot.version > replica.version ? adoptSnapshot(replica, snapshot) : undefined;
            if (update !== undefined) {
                logCopy(log, replica, snapshot, afterOutage);
                isSynced = true;
                adopt(update, afterOutage);
            }
        },
        stop: () => void (isStopped = true),
    };
}

function reportRestored({ log, table, onRestored }: TrackTableOptions, previous: number, position: number): void {
    log.warn(
        { table, version: formatPosition(position), previous: formatPosition(previous) },
        "replica: the store has been restored",
    );
    onRestored(getEra(position));
}

const logCopy = (log: Logger, replica: TableReplica, { version }: TableChanges, afterOutage: boolean): void => {
    const from = formatPosition(replica.version);
    log.info(
        { table: replica.table, version: formatPosition(version), from, afterOutage },
        "replica: adopted a peer's copy",
    );
};

const logStaleRead = (log: Logger, { table, version }: TableReplica, { version: read }: TableChanges): void =>
    log.warn(
        { table, version: formatPosition(version), read: formatPosition(read) },
        "replica: ignoring a store read that is older than the replica",
    );

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
