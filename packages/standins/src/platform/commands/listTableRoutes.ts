/** Platform routes of the table service and the object store. */
import { type HttpRequest, type Route, sendJson } from "@currantrill/http";
import { transactionSchema } from "@currantrill/protocol";
import { z } from "zod";
import { validateBody } from "../../commands/validateBody.js";
import { applyWrites, getTable, listConflicts, type PlatformState } from "../model/platformState.js";

/** Maximum number of rows in a response if the query states no limit. */
const DEFAULT_ROW_LIMIT = "1000";
const objectSchema = z.object({ text: z.string() });

/** Decodes the path parameter `key`. */
export const decodeKey = (request: HttpRequest): string => decodeURIComponent(request.params["key"] ?? "");

/** Lists the routes of the table service. `recordCommit` is called for each committed transaction. */
export function listTableRoutes(state: PlatformState, recordCommit: (attemptId: string) => void): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/tables/:table/rows",
            handle: (request, response) => {
                const query = new URLSearchParams(request.search);
                const prefix = query.get("prefix") ?? "";
                const rows = [...getTable(state, request.params["table"] ?? "").values()]
                    .filter(row => row.key.startsWith(prefix));
                sendJson(response, 200, { rows: rows.slice(0, Number(query.get("limit") ?? DEFAULT_ROW_LIMIT)) });
            },
        },
        {
            method: "GET",
            path: "/v1/tables/:table/rows/:key",
            handle: (request, response) => {
                const row = getTable(state, request.params["table"] ?? "").get(decodeKey(request));
                sendJson(response, row === undefined ? 404 : 200, row ?? { error: "no such row" });
            },
        },
        {
            method: "POST",
            path: "/v1/transactions",
            handle: validateBody(transactionSchema, (transaction, response) => {
                const conflicts = listConflicts(state, transaction);
                if (conflicts.length > 0) {
                    sendJson(response, 409, { committed: false, conflicts });
                    return;
                }
                const versions = applyWrites(state, transaction);
                recordCommit(transaction.attemptId);
                sendJson(response, 200, { committed: true, versions });
            }),
        },
    ];
}

export function listObjectRoutes(state: PlatformState): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/objects/:key",
            handle: (request, response) => {
                const text = state.objects.get(decodeKey(request));
                const body = text === undefined ? { error: "no such object" } : { text };
                sendJson(response, text === undefined ? 404 : 200, body);
            },
        },
        {
            method: "PUT",
            path: "/v1/objects/:key",
            handle: validateBody(objectSchema, ({ text }, response, request) => {
                state.objects.set(decodeKey(request), text);
                sendJson(response, 200, {});
            }),
        },
    ];
}
