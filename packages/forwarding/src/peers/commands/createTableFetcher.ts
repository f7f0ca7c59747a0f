/** Fetches copies of tables from peers that announce newer ones. */
import { requestJson } from "@currantrill/http";
import type Logger from "bunyan";
import type { TableChanges } from "../../ports/tableSource.js";
import type { SharedTable } from "../../replicas/model/sharedTable.js";
import type { TableReplica } from "../../replicas/model/tableReplica.js";
import type { TableCopy } from "../model/tableCopy.js";
import { createTableLags, type TableLags } from "../model/tableLags.js";

/**
 * Time in which a host that follows the store receives a change from it, including the pause after an earlier change.
 */
const STORE_GRACE_MS = 800;
const FETCH_TIMEOUT_MS = 800;

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
    const onFetch = options.onFetch ?? defaultOptions.onFetch;
    const request = options.request ?? defaultOptions.request;
    const lags = createTableLags(tables, log);
    const fetching = new Set<string>();
    const fetchedAtMs = new Map<string, number>();
    const fetch = async (name: string, table: SharedTable, peer: string): Promise<void> => {
        fetchedAtMs.set(name, performance.now());
        try {
            const after = table.getReplica().version;
            const url = `http://${peer}/tables/${name}?after=${after}`;
            const reply = await request(url, { timeoutMs: FETCH_TIMEOUT_MS });
            const copy = reply.body as TableCopy | undefined;
            if (reply.status === 200 && Array.isArray(copy?.rows)) {
                table.adoptFromPeer(toChanges(copy, table.getReplica()), copy.isAfterOutage);
            }
            onFetch(reply.status === 200 ? "copied" : "refused");
        }
        catch (error) {
            onFetch("failed");
            log.warn({ err: error, peer, table: name }, "peers: could not fetch a table");
        }
        finally {
            fetching.delete(name);
        }
    };
    return {
        synchronizeWith: (peer, lastChangeVersions) => {
            for (const [name, table] of tables) {
                const peerVersion = lastChangeVersions[name] ?? -1;
                lags.record(name, { peer, version: peerVersion, isFetching: fetching.has(name) });
                if (peerVersion <= table.getReplica().version || fetching.has(name)) {
                    continue;
                }
                fetching.add(name);
                const sinceFetchMs = performance.now() - (fetchedAtMs.get(name) ?? -Infinity);
                const waitMs = table.isFollowing()
                    ? STORE_GRACE_MS
                    : Math.max(FETCH_INTERVAL_MS - sinceFetchMs, Math.random() * FETCH_JITTER_MS);
                setTimeout(() => {
                    if (peerVersion <= table.getReplica().version) {
                        fetching.delete(name);
                        return;
                    }
                    void fetch(name, table, peer);
                }, waitMs);
            }
        },
        getBehindMs: lags.getBehindMs,
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
