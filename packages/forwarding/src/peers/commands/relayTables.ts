/** Copies of tables between hosts, for a host that the store turns away. */
import { requestJson, type RunningServer, serveHttp } from "@currantrill/http";
import type Logger from "bunyan";
import type { TableChanges } from "../../ports/tableSource.js";
import type { TrackedTable } from "../../replicas/commands/trackTable.js";

/** Time in which a host usually hears of a change from the store itself. */
const STORE_FIRST_MS = 120;
const FETCH_TIMEOUT_MS = 800;

interface TableCopy {
    readonly version: number;
    /** Whether rows that lapsed in an outage of the store may still return. */
    readonly isAfterOutage: boolean;
    /** Key, version, and value in base64. */
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
                response.writeHead(table === undefined ? 404 : 200, { "content-type": "application/json" });
                response.end(JSON.stringify(table === undefined ? {} : exportTable(table)));
            },
        }],
    });
    const fetching = new Set<string>();
    const fetch = async (name: string, table: TrackedTable, peer: string): Promise<void> => {
        try {
            const reply = await requestJson(`http://${peer}/tables/${name}`, { timeoutMs: FETCH_TIMEOUT_MS });
            const copy = reply.body as TableCopy | undefined;
            if (reply.status === 200 && Array.isArray(copy?.rows)) {
                table.adoptFromPeer(toChanges(copy), copy.isAfterOutage);
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
                setTimeout(() => {
                    if (theirs <= table.getReplica().version) {
                        fetching.delete(name);
                        return;
                    }
                    void fetch(name, table, peer);
                }, STORE_FIRST_MS);
            }
        },
        close: () => server.close(),
    };
}

function exportTable(table: TrackedTable): TableCopy {
    const { rows, version } = table.getReplica();
    return {
        version,
        isAfterOutage: table.isAfterOutage(),
        rows: [...rows.values()].map(row => [row.key, row.version, row.value?.toString("base64") ?? ""]),
    };
}

const toChanges = (copy: TableCopy): TableChanges => ({
    version: copy.version,
    rows: copy.rows.map(([key, version, value]) => ({ key, version, value: Buffer.from(value, "base64") })),
});
