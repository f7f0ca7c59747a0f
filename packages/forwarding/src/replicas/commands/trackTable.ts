/**
 * Keeps a replica up to date: reads the whole table, then follows the change feed. Reads the whole table again if the
 * store no longer has the history that the feed needs.
 */
import type Logger from "bunyan";
import { formatPosition } from "../../ports/storePosition.js";
import type { TableChanges, TableSource } from "../../ports/tableSource.js";
import type { SharedTable } from "../model/sharedTable.js";
import { adoptSnapshot, applyChanges, type TableReplica } from "../model/tableReplica.js";
import { createTrackedReplica, type TrackedReplicaOptions } from "../model/trackedReplica.js";

/** Interval at which a host that copies from peers checks whether it has to follow the feed itself. */
const COPYING_CHECK_MS = 100;
/** Time after which a host that waits for a peer's first copy reads the store itself. */
const FIRST_COPY_MS = 3_000;
/** Delay after a read that was older than the replica. */
const STALE_READ_DELAY_MS = 250;

export interface TrackTableOptions extends TrackedReplicaOptions {
    readonly source: TableSource;
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
}

export interface TrackedTable extends SharedTable {
    /** Returns whether the last call to the store failed. */
    readonly isStoreUnavailable: () => boolean;
    /** Stops following the table. */
    readonly stop: () => void;
}

/** Starts to follow a table, until `stop` is called. */
export function trackTable(options: TrackTableOptions): TrackedTable {
    const { table, source, log } = options;
    const replica = createTrackedReplica(options);
    let isStopped = false;
    let isSynced = false;
    const startedAtMs = performance.now();

    const readAll = async (): Promise<void> => {
        // A peer's copy may change the replica while the read is in progress.
        const snapshot = await source.readTable(table);
        const update = adoptSnapshot(replica.get(), snapshot);
        if (update !== undefined) {
            isSynced = true;
            replica.recordResponse(snapshot.version);
            replica.adopt(update);
            return;
        }
        logStaleRead(log, replica.get(), snapshot);
        await sleep(STALE_READ_DELAY_MS);
    };
    const isCopyOverdue = (): boolean =>
        options.isCopied && replica.get().version < 0 && performance.now() - startedAtMs > FIRST_COPY_MS;
    const isCopyingFromPeers = (): boolean =>
        replica.countFailures() === 0 && !options.shouldFollow() && !isCopyOverdue();
    const readFeed = async (): Promise<void> => {
        // After a failure, a call that returns at once is the fastest way to notice that the store is available again.
        const waitMs = replica.countFailures() > 0 ? 0 : options.getWaitMs();
        const changes = await source.awaitChanges(table, replica.get().version, waitMs);
        if (changes === undefined) {
            log.warn(
                { table, version: formatPosition(replica.get().version) },
                "replica: history not available, reading the whole table",
            );
            isSynced = false;
            return;
        }
        replica.recordResponse(changes.version);
        replica.adopt(applyChanges(replica.get(), changes));
        if (changes.rows.length > 0) {
            await sleep(options.getBatchDelayMs());
        }
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            await (isCopyingFromPeers() ? sleep(COPYING_CHECK_MS) : isSynced ? readFeed() : readAll())
                .catch((error: unknown) => {
                    replica.recordFailure(error);
                    return sleep(replica.getRetryDelayMs());
                });
        }
    };
    void run();
    return {
        getReplica: replica.get,
        getRecovery: replica.getRecovery,
        isFollowing: () => replica.countFailures() === 0 && !isCopyingFromPeers(),
        isStoreUnavailable: () => replica.countFailures() > 0,
        adoptFromPeer: (snapshot, recovery) => {
            const update = snapshot.version > replica.get().version
                ? adoptSnapshot(replica.get(), snapshot)
                : undefined;
            if (update !== undefined) {
                logCopy(log, replica.get(), snapshot, recovery !== undefined);
                isSynced = true;
                replica.recordPeerRecovery(recovery);
                replica.adopt(update);
            }
        },
        stop: () => void (isStopped = true),
    };
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
