/** Synchronizes tables between hosts, for hosts that do not receive changes from the store. */
import { requestJson, type RunningServer, sendJson, serveHttp, type ServeHttpOptions } from "@currantrill/http";
import type Logger from "bunyan";
import { gzipSync } from "node:zlib";
import type { TableChanges } from "../../ports/tableSource.js";
import type { SharedTable } from "../../replicas/model/sharedTable.js";
import type { TableReplica } from "../../replicas/model/tableReplica.js";

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

/** The fastest level: a copy of a large configuration then takes a few milliseconds. */
const COMPRESSION_LEVEL = 1;

/** Time for which a compressed copy is sent again. Retained evacuations carry the time that is left. */
const COPY_VALID_MS = 1_000;

/** Body of the response to a fetch. */
interface TableCopy {
    /** Version of the sender's replica. */
    readonly version: number;
    /** Whether rows that expired during an outage of the store may still be written again. */
    readonly isAfterOutage: boolean;
    /** Keys of all rows. */
    readonly keys: readonly string[];
    /** Rows that have changed after the requested version: key, version, and value in base64. */
    readonly rows: readonly (readonly [string, number, string])[];
}

export interface TableSynchronization {
    /** Returns the version of the newest change that this host knows, by table. */
    readonly getLastChangeVersions: () => Readonly<Record<string, number>>;
    /** Fetches a table from a peer if the peer knows of a later change, unless the store provides it first. */
    readonly synchronizeWith: (peer: string, lastChangeVersions: Readonly<Record<string, number>>) => void;
    readonly close: () => Promise<void>;
}

export interface TableSynchronizationOptions
    extends Pick<ServeHttpOptions, "budget" | "maxConnections" | "onConnectionLimit" | "onServerError"> {
    /** Called with the outcome of each fetch, for metrics. */
    readonly onFetch?: (outcome: "copied" | "refused" | "failed") => void;
}

/**
 * Serves copies of tables over HTTP on the peer address, and fetches newer ones from peers. Rejects if the address
 * cannot be bound.
 */
export async function startTableSynchronization(
    address: string,
    tables: ReadonlyMap<string, SharedTable>,
    log: Logger,
    { onFetch = () => undefined, ...guard }: TableSynchronizationOptions = {},
): Promise<TableSynchronization> {
    const [host = "", port = "0"] = address.split(":");
    const server: RunningServer = await serveHttp({
        host,
        port: Number(port),
        bodies: "raw",
        ...guard,
        routes: [{
            method: "GET",
            path: "/tables/:name",
            handle: (request, response) => {
                const table = tables.get(request.params["name"] ?? "");
                const after = Number(new URLSearchParams(request.search).get("after") ?? -1);
                if (table === undefined) {
                    sendJson(response, 404, {});
                    return;
                }
                response.writeHead(200, { "content-type": "application/json", "content-encoding": "gzip" });
                response.end(exportCompressed(table, after));
            },
        }],
    });
    const exportCompressed = createCompressedExport();
    const fetching = new Set<string>();
    const fetchedAtMs = new Map<string, number>();
    const fetch = async (name: string, table: SharedTable, peer: string): Promise<void> => {
        fetchedAtMs.set(name, performance.now());
        try {
            const after = table.getReplica().version;
            const url = `http://${peer}/tables/${name}?after=${after}`;
            const reply = await requestJson(url, { timeoutMs: FETCH_TIMEOUT_MS });
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
        getLastChangeVersions: () =>
            Object.fromEntries([...tables].map(([name, table]) => [name, table.getReplica().lastChangeVersion])),
        synchronizeWith: (peer, lastChangeVersions) => {
            for (const [name, table] of tables) {
                const peerVersion = lastChangeVersions[name] ?? -1;
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
        close: () => server.close(),
    };
}

/** Builds the copy of a table, with the rows that have changed after a version. */
function exportTable(table: SharedTable, after: number): TableCopy {
    const { rows, version } = table.getReplica();
    return {
        version,
        isAfterOutage: table.isAfterOutage(),
        keys: [...rows.keys()],
        rows: [...rows.values()]
            .filter(row => row.version > after)
            .map(row => [row.key, row.version, row.value?.toString("base64") ?? ""]),
    };
}

/**
 * Creates an export of compressed copies, which keeps the last copy of each table: the hosts of a domain ask for the
 * same one. Copies are compressed because many hosts have slow links.
 */
function createCompressedExport(): (table: SharedTable, after: number) => Buffer {
    const last = new Map<SharedTable, { readonly key: string; readonly data: Buffer; readonly untilMs: number; }>();
    return (table, after) => {
        const key = `${after} ${table.getReplica().version} ${table.isAfterOutage()}`;
        const known = last.get(table);
        const nowMs = performance.now();
        if (known?.key === key && nowMs < known.untilMs) {
            return known.data;
        }
        const data = gzipSync(JSON.stringify(exportTable(table, after)), { level: COMPRESSION_LEVEL });
        last.set(table, { key, data, untilMs: nowMs + COPY_VALID_MS });
        return data;
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
