/** Stand-in of the platform: table service, object store and host list. */
import { type HttpRequest, type Route, sendJson } from "@currantrill/http";
import {
    type ListedHost,
    listedHostSchema,
    type TableRow,
    type Transaction,
    transactionSchema,
} from "@currantrill/protocol";
import { createLedgerState, recordEntry } from "../model/ledgerState.js";
import { type RunningStandin, serveStandin } from "./serveStandin.js";

export interface PlatformStandinOptions {
    readonly host?: string;
    readonly port?: number;
    /** Delay until a change of the host list can be read, in milliseconds. */
    readonly hostListLagMs?: number;
}

const defaultOptions = { host: "127.0.0.1", port: 0, hostListLagMs: 1_000 } satisfies PlatformStandinOptions;

interface PlatformState {
    readonly tables: Map<string, Map<string, TableRow>>;
    /** Last version of each row, kept after a delete so that versions never repeat. */
    readonly versions: Map<string, number>;
    readonly objects: Map<string, string>;
    readonly hosts: Map<string, ListedHost>;
}

/** Starts the stand-in. */
export async function servePlatform(options: PlatformStandinOptions = {}): Promise<RunningStandin> {
    const settings = { ...defaultOptions, ...options };
    const state: PlatformState = { tables: new Map(), versions: new Map(), objects: new Map(), hosts: new Map() };
    const ledger = createLedgerState();
    const recordCommit = (attemptId: string): void =>
        recordEntry(ledger, { requestId: "", attemptId, action: "transaction", outcome: "committed" });
    return serveStandin({
        host: settings.host,
        port: settings.port,
        readLedger: () => ledger,
        routes: [
            ...listTableRoutes(state, recordCommit),
            ...listObjectRoutes(state),
            ...listHostRoutes(state, settings.hostListLagMs),
        ],
    });
}

const getKey = (request: HttpRequest): string => decodeURIComponent(request.params["key"] ?? "");

function getTable(state: PlatformState, name: string): Map<string, TableRow> {
    const table = state.tables.get(name) ?? new Map<string, TableRow>();
    state.tables.set(name, table);
    return table;
}

function listTableRoutes(state: PlatformState, recordCommit: (attemptId: string) => void): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/tables/:table/rows",
            handle: (request, response) => {
                const query = new URLSearchParams(request.search);
                const prefix = query.get("prefix") ?? "";
                const limit = Number(query.get("limit") ?? "1000");
                const rows = [...getTable(state, request.params["table"] ?? "").values()].filter(row =>
                    row.key.startsWith(prefix)
                );
                sendJson(response, 200, { rows: rows.slice(0, limit) });
            },
        },
        {
            method: "GET",
            path: "/v1/tables/:table/rows/:key",
            handle: (request, response) => {
                const row = getTable(state, request.params["table"] ?? "").get(getKey(request));
                sendJson(response, row === undefined ? 404 : 200, row ?? { error: "no such row" });
            },
        },
        {
            method: "POST",
            path: "/v1/transactions",
            handle: (request, response) => {
                const parsed = transactionSchema.safeParse(request.body);
                if (!parsed.success) {
                    sendJson(response, 400, { error: parsed.error.message });
                    return;
                }
                const conflicts = listConflicts(state, parsed.data);
                if (conflicts.length > 0) {
                    sendJson(response, 409, { committed: false, conflicts });
                    return;
                }
                const versions = applyWrites(state, parsed.data);
                recordCommit(parsed.data.attemptId);
                sendJson(response, 200, { committed: true, versions });
            },
        },
    ];
}

function listConflicts(
    state: PlatformState,
    transaction: Transaction,
): { table: string; key: string; version: number; }[] {
    return transaction.conditions
        .map(condition => ({ condition, version: getTable(state, condition.table).get(condition.key)?.version ?? 0 }))
        .filter(({ condition, version }) => condition.version !== version)
        .map(({ condition, version }) => ({ table: condition.table, key: condition.key, version }));
}

function applyWrites(state: PlatformState, transaction: Transaction): Record<string, number> {
    const result: Record<string, number> = {};
    for (const { table, key, value } of transaction.writes) {
        const versionKey = `${table}/${key}`;
        const version = (state.versions.get(versionKey) ?? 0) + 1;
        state.versions.set(versionKey, version);
        result[versionKey] = version;
        if (value === null) {
            getTable(state, table).delete(key);
        }
        else {
            getTable(state, table).set(key, { key, version, value });
        }
    }
    return result;
}

function listObjectRoutes(state: PlatformState): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/objects/:key",
            handle: (request, response) => {
                const text = state.objects.get(getKey(request));
                sendJson(
                    response,
                    text === undefined ? 404 : 200,
                    text === undefined ? { error: "no such object" } : { text },
                );
            },
        },
        {
            method: "PUT",
            path: "/v1/objects/:key",
            handle: (request, response) => {
                const body = request.body as { text?: string; };
                state.objects.set(getKey(request), body.text ?? "");
                sendJson(response, 200, {});
            },
        },
    ];
}

function listHostRoutes(state: PlatformState, lagMs: number): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/hosts",
            handle: (_request, response) => sendJson(response, 200, { hosts: [...state.hosts.values()] }),
        },
        {
            method: "PUT",
            path: "/v1/hosts/:key",
            handle: (request, response) => {
                const parsed = listedHostSchema.safeParse(request.body);
                if (!parsed.success) {
                    sendJson(response, 400, { error: parsed.error.message });
                    return;
                }
                setTimeout(() => state.hosts.set(parsed.data.id, parsed.data), lagMs);
                sendJson(response, 200, {});
            },
        },
        {
            method: "DELETE",
            path: "/v1/hosts/:key",
            handle: (request, response) => {
                setTimeout(() => state.hosts.delete(getKey(request)), lagMs);
                sendJson(response, 200, {});
            },
        },
    ];
}
