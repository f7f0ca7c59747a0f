/** Keeps a replica up to date: a full read, then the feed; a full read again where the feed has a gap. */
import type Logger from "bunyan";
import type { TableChanges, TableRow, TableSource } from "../../ports/tableSource.js";
import { adoptSnapshot, applyChanges, createTableReplica, type TableReplica } from "../model/tableReplica.js";

/** Wait after a failed call to the store; grows up to the second value. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 800;
/** Time after an outage of the store in which rows that lapsed may return. */
const LAPSE_MS = 2_300;
/** Wait after a read that was older than the replica. */
const STALE_READ_WAIT_MS = 250;

export interface TrackTableOptions {
    readonly table: string;
    readonly source: TableSource;
    readonly log: Logger;
    /** Time of one wait on the feed. A connection that went silent is noticed after it and the source's own limit. */
    readonly getWaitMs: () => number;
    /** Pause after changes, so that the next ones arrive together. */
    readonly getGapMs: () => number;
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
        if (step === undefined) {
            log.warn({ table, version: replica.version }, "replica: store read is older than what is known, ignored");
            await sleep(STALE_READ_WAIT_MS);
            return;
        }
        isSynced = true;
        publish(step, outage.end(replica.version));
    };
    const readFeed = async (): Promise<void> => {
        // After a failure a call that returns at once tells soonest that the store is back.
        const waitMs = outage.countFailures() > 0 ? 0 : options.getWaitMs();
        const changes = await source.awaitChanges(table, replica.version, waitMs);
        if (changes === undefined) {
            log.warn({ table, version: replica.version }, "replica: history is gone, reading the whole table");
            isSynced = false;
            return;
        }
        publish(applyChanges(replica, changes), outage.end(replica.version));
        if (changes.rows.length > 0) {
            await sleep(options.getGapMs());
        }
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            try {
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
        adoptFromPeer: (snapshot, afterOutage) => {
            const step = snapshot.version > replica.version ? adoptSnapshot(replica, snapshot) : undefined;
            if (step !== undefined) {
                const versions = { version: snapshot.version, from: replica.version };
                log.info({ table, ...versions, afterOutage }, "replica: adopted from a peer");
                publish(step, afterOutage);
            }
        },
        stop: () => {
            isStopped = true;
        },
    };
}

interface Outage {
    readonly countFailures: () => number;
    readonly getRetryWait: () => number;
    readonly recordFailure: (error: unknown, version: number) => void;
    /** Ends the outage, and returns whether there was one. */
    readonly end: (version: number) => boolean;
}

/** Counts failures of the store in a row, and logs when it is lost and regained. */
function createOutage(table: string, log: Logger): Outage {
    let failures = 0;
    return {
        countFailures: () => failures,
        getRetryWait: () => Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** failures) * (0.5 + Math.random() / 2),
        recordFailure: (error, version) => {
            failures += 1;
            if (failures === 1) {
                log.warn({ err: error, table, version }, "replica: store lost");
            }
        },
        end: version => {
            if (failures === 0) {
                return false;
            }
            log.info({ table, version, failures }, "replica: store regained");
            failures = 0;
            return true;
        },
    };
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
