/** Keeps a forwarding host's replicas of the store's tables up to date. */
import type Logger from "bunyan";
import { ACTIVE_CONFIGURATION, shareActiveConfiguration } from "../configuration/commands/shareActiveConfiguration.js";
import type { ConfigurationManager } from "../configuration/model/configurationManager.js";
import type { EndpointDirectory } from "../endpoints/model/endpointDirectory.js";
import { RETAINED_EVACUATIONS, shareRetainedEvacuations } from "../evacuation/commands/shareRetainedEvacuations.js";
import type { EvacuationRegistry } from "../evacuation/model/evacuationRegistry.js";
import type { Peers } from "../peers/commands/startPeers.js";
import type { PlatformRows, TableRow, TableSource } from "../ports/index.js";
import { trackTable } from "../replicas/commands/trackTable.js";
import type { SharedTable } from "../replicas/model/sharedTable.js";

/**
 * Longest wait of a call to the change feed. It is longer for the host table, because addresses change rarely and peers
 * announce the hosts that they know.
 */
const FEED_POLL_MS = 2_500;
/**
 * The same while many hosts follow the store: the first of them to notice that its connection is unresponsive tells the
 * others of the changes. The waits differ, so that they do not all end at the same time.
 */
const LONG_FEED_POLL_MS = 5_000;
const HOST_FEED_POLL_MS = 20_000;
const HOST_FEED_BATCH_DELAY_MS = 2_000;
/**
 * Pause after changes. Every change wakes all hosts that follow the feed; the pause bounds their calls to the store.
 */
const FEED_BATCH_DELAY_MS = 36;
/** The same while many hosts follow the store, which is so in fleets whose endpoints change in long series. */
const LONG_FEED_BATCH_DELAY_MS = 150;

export interface TrackTablesOptions {
    readonly rows: PlatformRows;
    readonly source: TableSource;
    readonly log: Logger;
    readonly configuration: ConfigurationManager;
    readonly directory: EndpointDirectory;
    readonly evacuations: EvacuationRegistry;
    readonly peers: Peers;
    /** Filled with the tables that hosts copy from each other, by table name. */
    readonly sharedTables: Map<string, SharedTable>;
    /** Called once when the store has been restored from an older copy: what this host wrote there may be lost. */
    readonly onRestored: () => void;
}

export interface TrackedTables {
    /** Returns whether the last call to the store for one of the tables that hosts copy failed. */
    readonly isStoreUnavailable: () => boolean;
    /** Stops following all tables. */
    readonly stop: () => void;
}

/** Starts to follow the tables of the configuration, the endpoints and the hosts. */
export function trackTables(options: TrackTablesOptions): TrackedTables {
    const { rows, source, log, configuration, directory, evacuations, peers, sharedTables } = options;
    const handlers = [
        [rows.configurationTable, (changed: readonly TableRow[]) => {
            // First, because the host serves as soon as it has a configuration.
            evacuations.applyRows(changed);
            configuration.applyRows(changed);
        }],
        [rows.endpointTable, directory.applyRows],
    ] as const;
    const getFeedWaitMs = (): number =>
        peers.fleet.hasManyFollowers() ? LONG_FEED_POLL_MS * (0.5 + Math.random() / 2) : FEED_POLL_MS;
    let lastEra = 0;
    const onRestored = (era: number): void => {
        if (era > lastEra) {
            lastEra = era;
            evacuations.renewRetained();
            options.onRestored();
        }
    };
    const trackedTables = handlers.map(([table, onChange]) => {
        const tracked = trackTable({
            table,
            source,
            log,
            getWaitMs: getFeedWaitMs,
            getBatchDelayMs: () => peers.fleet.hasManyFollowers() ? LONG_FEED_BATCH_DELAY_MS : FEED_BATCH_DELAY_MS,
            shouldFollow: peers.fleet.shouldFollowStore,
            isCopied: true,
            onRestored,
            onChange: (changed, afterOutage) => {
                onChange(changed, afterOutage);
                peers.announceTables();
            },
        });
        sharedTables.set(table, tracked);
        return tracked;
    });
    sharedTables.set(ACTIVE_CONFIGURATION, shareActiveConfiguration(configuration));
    sharedTables.set(RETAINED_EVACUATIONS, shareRetainedEvacuations(evacuations));
    const hosts = trackTable({
        table: rows.hostTable,
        source,
        log,
        getWaitMs: () => HOST_FEED_POLL_MS,
        getBatchDelayMs: () => HOST_FEED_BATCH_DELAY_MS,
        shouldFollow: peers.fleet.shouldFollowStore,
        isCopied: false,
        onChange: changed => peers.addHosts(changed.filter(row => row.value !== undefined).map(row => row.key)),
        onRestored,
    });
    return {
        isStoreUnavailable: () => trackedTables.some(table => table.isStoreUnavailable()),
        stop: () => [...trackedTables, hosts].forEach(table => table.stop()),
    };
}
