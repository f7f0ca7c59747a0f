/** Serves peers over HTTP: copies of tables, and connections that they relay. */
import { type RunningServer, sendJson, serveHttp, type ServeHttpOptions } from "@currantrill/http";
import { gzipSync } from "node:zlib";
import type { SharedTable } from "../../replicas/model/sharedTable.js";
import { exportTable } from "../model/tableCopy.js";

/** The fastest level: a copy of a large configuration then takes a few milliseconds. */
const COMPRESSION_LEVEL = 1;

/** Time for which a compressed copy is sent again. Retained evacuations carry the time that is left. */
const COPY_VALID_MS = 1_000;

export type TableServerOptions = Pick<
    ServeHttpOptions,
    "budget" | "maxConnections" | "onConnectionLimit" | "onServerError" | "handleTunnel"
>;

/** Serves copies on the peer address. Rejects if it cannot be bound. */
export function serveTableCopies(
    address: string,
    tables: ReadonlyMap<string, SharedTable>,
    options: TableServerOptions,
): Promise<RunningServer> {
    const [host = "", port = "0"] = address.split(":");
    const exportCompressed = createCompressedExport();
    return serveHttp({
        host,
        port: Number(port),
        bodies: "raw",
        ...options,
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
}

/**
 * Creates an export of compressed copies, which keeps the last copy of each table: the hosts of a domain ask for the
 * same one. Copies are compressed because many hosts have slow links.
 */
function createCompressedExport(): (table: SharedTable, after: number) => Buffer {
    const last = new Map<SharedTable, { readonly key: string; readonly data: Buffer; readonly untilMs: number; }>();
    return (table, after) => {
        const key = `${after} ${table.getReplica().version} ${table.getRecovery()?.version}`;
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
