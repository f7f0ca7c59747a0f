/** Fetches copies of tables from peers that announce newer ones. */
import { requestJson } from "@currantrill/http";
import type Logger from "bunyan";
import type { TableChanges } from "../../ports/tableSource.js";
import type { SharedTable } from "../../replicas/model/sharedTable.js";
import type { TableReplica } from "../../replicas/model/tableReplica.js";
import { createCopySources } from "../model/copySources.js";
import { getCopyRecovery, type TableCopy } from "../model/tableCopy.js";
import { createTableLags, type TableLags } from "../model/tableLags.js";

/**
 * Time in which a host that follows the store receives a change from it, including the pause after an earlier change.
 */
const STORE_GRACE_MS = 600;
const FETCH_TIMEOUT_MS = 800;
/**
 * A copy takes a few milliseconds, or some tens for a large configuration. After this time another peer is asked as well:
 * the host that announces a change first may be the one that has failed since.
 */
const NEXT_PEER_DELAY_MS = 200;

/**
 * Hosts that copy from peers fetch within this time after an announcement, so that not all query the same peer at once.
 */
const FETCH_JITTER_MS = 150;
/** Shortest time between two fetches of a table, so that changes in quick succession are copied together. */
const FETCH_INTERVAL_MS = 400;

export interface TableFetcher {
    /** Fetches a table from a peer if the peer knows of a later change, unless the store provides it first. */
    readonly synchronizeWith: (peer: string, lastChangeVersions: Readonly<Record<string, number>>) => void;
    /** Returns for how long peers have known of a change that this host does not have, in milliseconds by table. */
    readonly getBehindMs: TableLags["getBehindMs"];
}

export interface TableFetcherOptions {
    /** Tables by name. More of them may be added while the host starts. */
    readonly tables: ReadonlyMap<string, SharedTable>;
    readonly log: Logger;
    /** Called with the outcome of each fetch, for metrics. */
    readonly onFetch?: ((outcome: "copied" | "refused" | "failed") => void) | undefined;
    /** Sends the request for a copy. Tests replace it. */
    readonly request?: typeof requestJson;
}

const defaultOptions = {
    onFetch: () => undefined,
    request: requestJson,
} satisfies Partial<TableFetcherOptions>;

export function createTableFetcher({ tables, log, ...options }: TableFetcherOptions): TableFetcher {
    const lags = createTableLags(tables, log);
    const fetchesByName = new Map<string, Fetches>();
    const getFetches = (name: string, table: SharedTable): Fetches => {
        const fetches = fetchesByName.get(name) ?? createFetches({ name, table, log, ...options });
        fetchesByName.set(name, fetches);
        return fetches;
    };
    return {
        synchronizeWith: (peer, lastChangeVersions) => {
            for (const [name, table] of tables) {
                const fetches = getFetches(name, table);
                const version = lastChangeVersions[name] ?? -1;
                lags.record(name, { peer, version, isFetching: fetches.isFetching() });
                fetches.recordAnnouncement(peer, version);
            }
        },
        getBehindMs: lags.getBehindMs,
    };
}

/** Fetches of one table. */
interface Fetches {
    readonly isFetching: () => boolean;
    /** Schedules a fetch if the peer has a newer version. */
    readonly recordAnnouncement: (peer: string, version: number) => void;
}

type FetchesOptions = Omit<TableFetcherOptions, "tables"> & { readonly name: string; readonly table: SharedTable; };

function createFetches(options: FetchesOptions): Fetches {
    const { name, table, log, onFetch = defaultOptions.onFetch, request = defaultOptions.request } = options;
    const sources = createCopySources();
    let timer: NodeJS.Timeout | undefined;
    let startedAtMs = -Infinity;
    /** Time since which a peer is known to be ahead; `undefined` if none is. */
    let behindSinceMs: number | undefined;
    const fetch = async (peer: string): Promise<void> => {
        startedAtMs = performance.now();
        let isCopied = false;
        try {
            const url = `http://${peer}/tables/${name}?after=${table.getReplica().version}`;
            const reply = await request(url, { timeoutMs: FETCH_TIMEOUT_MS });
            const copy = reply.body as TableCopy | undefined;
            isCopied = reply.status === 200 && Array.isArray(copy?.rows);
            if (copy !== undefined && isCopied) {
                table.adoptFromPeer(toChanges(copy, table.getReplica()), getCopyRecovery(copy));
            }
            onFetch(isCopied ? "copied" : "refused");
        }
        catch (error) {
            onFetch("failed");
            log.warn({ err: error, peer, table: name }, "peers: could not fetch a table");
        }
        sources.recordEnd(peer, isCopied);
        scheduleNext();
    };
    const computeDelayMs = (nowMs: number): number => {
        if (sources.countInProgress() > 0) {
            return startedAtMs + NEXT_PEER_DELAY_MS - nowMs;
        }
        return table.isFollowing()
            ? (behindSinceMs ?? nowMs) + STORE_GRACE_MS - nowMs
            : Math.max(startedAtMs + FETCH_INTERVAL_MS - nowMs, Math.random() * FETCH_JITTER_MS);
    };
    const scheduleNext = (): void => {
        const nowMs = performance.now();
        const isBehind = sources.hasNewer(table.getReplica().version);
        behindSinceMs = isBehind ? behindSinceMs ?? nowMs : undefined;
        if (isBehind && timer === undefined && sources.choose() !== undefined) {
            timer = setTimeout(fetchNext, Math.max(0, computeDelayMs(nowMs)));
        }
    };
    const fetchNext = (): void => {
        timer = undefined;
        const peer = sources.hasNewer(table.getReplica().version) ? sources.choose() : undefined;
        if (peer !== undefined) {
            sources.recordStart(peer);
            void fetch(peer);
        }
        scheduleNext();
    };
    return {
        isFetching: () => sources.countInProgress() > 0,
        recordAnnouncement: (peer, version) => {
            sources.recordAnnouncement(peer, version);
            scheduleNext();
        },
    };
}

/** Completes a copy with the rows of the local replica that have not changed since its version. */
function toChanges(copy: TableCopy, replica: TableReplica): TableChanges {
    const changed = copy.rows.map(([key, version, value]) => ({ key, version, value: Buffer.from(value, "base64") }));
    const present = new Set(copy.keys);
    const unchanged = [...replica.rows.values()].filter(row => present.has(row.key));
    return {
        version: copy.version,
        rows: [...new Map([...unchanged, ...changed].map(row => [row.key, row])).values()],
    };
}
