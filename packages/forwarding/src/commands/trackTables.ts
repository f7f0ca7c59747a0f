/** The tables that a host follows. */
import type Logger from "bunyan";
import type { ConfigurationHolder } from "../configuration/model/configurationHolder.js";
import type { EndpointDirectory } from "../endpoints/model/endpointDirectory.js";
import type { Peers } from "../peers/commands/startPeers.js";
import type { PlatformRows, TableSource } from "../ports/index.js";
import { type TrackedTable, trackTable } from "../replicas/commands/trackTable.js";

/** Wait on the feed. Host addresses change rarely, and peers tell each other. */
const FEED_WAIT_MS = 2_500;
const HOST_FEED_WAIT_MS = 20_000;
const HOST_FEED_GAP_MS = 2_000;
/** Every change wakes all hosts that follow the store; a pause bounds their calls. */
const FEED_GAP_MS = 36;

export interface TrackTablesOptions {
    readonly rows: PlatformRows;
    readonly source: TableSource;
    readonly log: Logger;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly peers: Peers;
    /** Receives the tables that hosts copy from each other, by name. */
    readonly shared: Map<string, TrackedTable>;
}

export interface TrackedTables {
    readonly stop: () => void;
}

/** Starts to follow the configuration, the endpoints and the hosts. */
export function trackTables(options: TrackTablesOptions): TrackedTables {
    const { rows, source, log, configuration, directory, peers, shared } = options;
    const handlers = [
        [rows.configurationTable, configuration.applyRows],
        [rows.endpointTable, directory.applyRows],
    ] as const;
    for (const [table, onChange] of handlers) {
        shared.set(
            table,
            trackTable({
                table,
                source,
                log,
                waitMs: FEED_WAIT_MS,
                gapMs: FEED_GAP_MS,
                shouldFollow: peers.fleet.shouldFollowStore,
                prefersStore: table === rows.configurationTable,
                onChange,
            }),
        );
    }
    const hosts = trackTable({
        table: rows.hostTable,
        source,
        log,
        waitMs: HOST_FEED_WAIT_MS,
        gapMs: HOST_FEED_GAP_MS,
        shouldFollow: peers.fleet.shouldFollowStore,
        prefersStore: false,
        onChange: changed => peers.addHosts(changed.filter(row => row.value !== undefined).map(row => row.key)),
    });
    return {
        stop: () => [...shared.values(), hosts].forEach(table => table.stop()),
    };
}
