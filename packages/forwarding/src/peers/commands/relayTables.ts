/** Copies of tables between hosts, for a host that the store turns away. */
import { requestJson, type RunningServer, serveHttp } from "@currantrill/http";
import type Logger from "bunyan";
import type { TableChanges } from "../../ports/tableSource.js";
import type { TrackedTable } from "../../replicas/commands/trackTable.js";
import type { TableReplica } from "../../replicas/model/tableReplica.js";

/** Time in which a host that has the store hears of a change from it, with the pause after an earlier change. */
const STORE_FIRST_MS = 800;
const FETCH_TIMEOUT_MS = 800;

/** Hosts that copy from peers do so within this time after the news, so that not all ask the same peer at once. */
const COPY_SPREAD_MS = 60;

interface TableCopy {
    readonly version: number;
    /** Whether rows that lapsed in an outage of the store may still return. */
    readonly isAfterOutage: boolean;
    /** Keys of all rows. */
    readonly keys: readonly string[];
    /** Rows that changed after the position that was asked for: key, version, and value in base64. */
    readonly rows: readonly (readonly [string, number, string])[];
}

export interface TableRelay {
    /** Positions of the newest changes that this host knows, by table. */
    readonly getChangedAt: () => Readonly<Record<string, number>>;
    /** Takes a peer's table if it knows of a later change. */
    readonly compare: (peer: string, changedAt: Readonly<Record<string, number>>) => void;
    readonly close: () => Promise<void>;
}

/** Serves copies of tables on the peer address, and fetches those of peers that know more. */
export async function startTableRelay(
    address: string,
    tables: ReadonlyMap<string, TrackedTable>,
    log: Logger,
): Promise<TableRelay> {
    const [host = "", port = "0"] = address.split(":");
    const server: RunningServer = await serveHttp({
        host,
        port: Number(port),
        bodies: "raw",
        routes: [{
            method: "GET",
            path: "/tables/:name",
            handle: (request, response) => {
                const table = tables.get(request.params["name"] ?? "");
                const after = Number(new URLSearchParams(request.search).get("after") ?? -1);
                response.writeHead(table === undefined ? 404 : 200, { "content-type": "application/json" });
                response.end(JSON.stringify(table === undefined ? {} : exportTable(table, after)));
            },
        }],
    });
    const fetching = new Set<string>();
    const fetch = async (name: string, table: TrackedTable, peer: string): Promise<void> => {
        try {
            const after = table.getReplica().version;
            const url = `http://${peer}/tables/${name}?after=${after}`;
            const reply = await requestJson(url, { timeoutMs: FETCH_TIMEOUT_MS });
            const copy = reply.body as TableCopy | undefined;
            if (reply.status === 200 && Array.isArray(copy?.rows)) {
                table.adoptFromPeer(toChanges(copy, table.getReplica()), copy.isAfterOutage);
            }
        }
        catch (error) {
            log.warn({ err: error, peer, table: name }, "peers: table not fetched");
        }
        finally {
            fetching.delete(name);
        }
    };
    return {
        getChangedAt: () =>
            Object.fromEntries([...tables].map(([name, table]) => [name, table.getReplica().changedAt])),
        compare: (peer, changedAt) => {
            for (const [name, table] of tables) {
                const theirs = changedAt[name] ?? -1;
                if (theirs <= table.getReplica().version || fetching.has(name)) {
                    continue;
                }
                fetching.add(name);
                const waitMs = table.noteNews() ? STORE_FIRST_MS : Math.random() * COPY_SPREAD_MS;
                setTimeout(() => {
                    if (theirs <= table.getReplica().version) {
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

function exportTable(table: TrackedTable, after: number): TableCopy {
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

/** Completes a copy with the rows that have not changed since the position of the own replica. */
function toChanges(copy: TableCopy, replica: TableReplica): TableChanges {
    const changed = copy.rows.map(([key, version, value]) => ({ key, version, value: Buffer.from(value, "base64") }));
    const present = new Set(copy.keys);
    const known = [...replica.rows.values()].filter(row => present.has(row.key));
    return { version: copy.version, rows: [...new Map([...known, ...changed].map(row => [row.key, row])).values()] };
}
