/** Keeps a replica up to date: a full read, then the feed; a full read again where the feed has a gap. */
import type Logger from "bunyan";
import type { TableChanges, TableRow, TableSource } from "../../ports/tableSource.js";
import { createNewsSignal } from "../model/newsSignal.js";
import { createOutage } from "../model/outage.js";
import { adoptSnapshot, applyChanges, createTableReplica, type TableReplica } from "../model/tableReplica.js";

/** Time after an outage of the store in which rows that lapsed may return. */
const LAPSE_MS = 2_300;
/** Interval at which a host that copies from peers checks whether it has to follow the store itself. */
const RELIEVED_CHECK_MS = 200;
/** Pause of such a host after a change: all hosts of a large fleet read each change, and one is in force in 2 s. */
const RELIEVED_GAP_MS = 500;
/** Wait after a read that was older than the replica. */
const STALE_READ_WAIT_MS = 250;

export interface TrackTableOptions {
    readonly table: string;
    readonly source: TableSource;
    readonly log: Logger;
    /** Time of one wait on the feed. A connection that went silent is noticed after it and the source's own limit. */
    readonly waitMs: number;
    /** Whether this host reads the feed itself; otherwise `adoptFromPeer` brings the changes. */
    readonly shouldFollow: () => boolean;
    /** Whether a host that does not follow the feed reads changes from the store, because copies between hosts are large. */
    readonly prefersStore: boolean;
    /** Pause after changes, so that the next ones arrive together. */
    readonly gapMs: number;
    /**
     * Called with changed rows. `afterOutage` is true for the first changes since the store was lost: rows that lapsed
     * meanwhile may return.
     */
    readonly onChange: (changed: readonly TableRow[], afterOutage: boolean) => void;
}

export interface TrackedTable {
    readonly getReplica: () => TableReplica;
    /** Whether rows that lapsed in an outage of the store may still return. */
    readonly isAfterOutage: () => boolean;
    /** Whether the last call to the store failed. */
    readonly hasLostStore: () => boolean;
    /** A peer knows of a later change. Returns whether the store is asked for it, or a copy of the peer is needed. */
    readonly noteNews: () => boolean;
    /** Takes over a peer's copy if it is newer. `afterOutage` is what the peer says of itself. */
    readonly adoptFromPeer: (snapshot: TableChanges, afterOutage: boolean) => void;
    readonly stop: () => void;
}

/** Starts to follow a table until it is stopped. */
export function trackTable(options: TrackTableOptions): TrackedTable {
    const { table, source, log, onChange } = options;
    let replica = createTableReplica(table);
    let isStopped = false;
    let isSynced = false;
    const news = createNewsSignal();
    const outage = createOutage(table, log);
    let lapsesUntilMs = -Infinity;

    const publish = (step: { replica: TableReplica; changed: readonly TableRow[]; }, afterOutage: boolean): void => {
        replica = step.replica;
        if (afterOutage) {
            lapsesUntilMs = performance.now() + LAPSE_MS;
        }
        if (step.changed.length > 0) {
            onChange(step.changed, afterOutage);
        }
    };
    const readAll = async (): Promise<void> => {
        // The replica may change while the read is under way.
        const snapshot = await source.readTable(table);
        const step = adoptSnapshot(replica, snapshot);
        if (step !== undefined) {
            isSynced = true;
            publish(step, outage.end(replica.version));
            return;
        }
        log.warn({ table, version: replica.version }, "replica: store read is older than what is known, ignored");
        await sleep(STALE_READ_WAIT_MS);
    };
    const isRelieved = (): boolean => isSynced && outage.countFailures() === 0 && !options.shouldFollow();
    const readFeed = async (): Promise<void> => {
        // After a failure a call that returns at once tells soonest that the store is back.
        const waitMs = outage.countFailures() > 0 || isRelieved() ? 0 : options.waitMs;
        const changes = await source.awaitChanges(table, replica.version, waitMs);
        if (changes === undefined) {
            log.warn({ table, version: replica.version }, "replica: history is gone, reading the whole table");
            isSynced = false;
            return;
        }
        publish(applyChanges(replica, changes), outage.end(replica.version));
        if (changes.rows.length > 0) {
            await sleep(isRelieved() ? RELIEVED_GAP_MS : options.gapMs);
        }
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            try {
                if (isRelieved() && !news.take()) {
                    await news.wait(RELIEVED_CHECK_MS);
                    continue;
                }
                await (isSynced ? readFeed() : readAll());
            }
            catch (error) {
                outage.recordFailure(error, replica.version);
                await sleep(outage.getRetryWait());
            }
        }
    };
    void run();
    return {
        getReplica: () => replica,
        isAfterOutage: () => performance.now() < lapsesUntilMs,
        noteNews: () => {
            if (options.prefersStore) {
                news.raise();
            }
            return outage.countFailures() === 0 && (options.prefersStore || !isRelieved());
        },
        hasLostStore: () => outage.countFailures() > 0,
        adoptFromPeer: (snapshot, afterOutage) => {
            const { version } = snapshot;
            const step = version > replica.version ? adoptSnapshot(replica, snapshot) : undefined;
            if (step !== undefined) {
                log.info({ table, version, from: replica.version, afterOutage }, "replica: adopted from a peer");
                publish(step, afterOutage);
            }
        },
        stop: () => void (isStopped = true),
    };
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
