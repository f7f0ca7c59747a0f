/** Client of the platform's table service. */
import {
    type TableRow,
    tableRowSchema,
    type Transaction,
    type TransactionResult,
    transactionResultSchema,
} from "@currantrill/protocol";
import { z } from "zod";
import { createStoreError } from "../model/storeError.js";
import {
    createPlatformRequester,
    type PlatformClientOptions,
    type PlatformRequester,
} from "./createPlatformRequester.js";

export interface TableClient {
    /** Reads a row; `undefined` if it is absent. Rejects with `StoreUnavailable` if no answer arrives. */
    readRow(table: string, key: string): Promise<TableRow | undefined>;
    /** Lists up to `limit` rows whose key begins with `prefix`. Rejects with `StoreUnavailable`. */
    listRows(table: string, prefix: string, limit: number): Promise<TableRow[]>;
    /**
     * Writes rows under conditions. Rejects with `StoreUnavailable` if the write was refused unexecuted, and with
     * `StoreAnswerLost` if it may have taken effect.
     */
    transact(transaction: Transaction): Promise<TransactionResult>;
}

const rowListSchema = z.object({ rows: z.array(tableRowSchema) });
const BAD_REQUEST = 400;

/** Creates a client. */
export function createTableClient(options: PlatformClientOptions): TableClient {
    const send = createPlatformRequester(options);
    return {
        readRow: (table, key) => readRow(send, table, key),
        listRows: (table, prefix, limit) => listRows(send, table, prefix, limit),
        transact: transaction => transact(send, transaction),
    };
}

async function readRow(send: PlatformRequester, table: string, key: string): Promise<TableRow | undefined> {
    const response = await send({ method: "GET", path: `/v1/tables/${table}/rows/${encodeURIComponent(key)}` });
    if (response.status === 404) {
        return undefined;
    }
    const parsed = tableRowSchema.safeParse(response.body);
    if (response.status !== 200 || !parsed.success) {
        throw createStoreError("StoreUnavailable", `the table service answered ${response.status} to a read`);
    }
    return parsed.data;
}

async function listRows(send: PlatformRequester, table: string, prefix: string, limit: number): Promise<TableRow[]> {
    const query = new URLSearchParams({ prefix, limit: String(limit) });
    const response = await send({ method: "GET", path: `/v1/tables/${table}/rows?${query.toString()}` });
    const parsed = rowListSchema.safeParse(response.body);
    if (response.status !== 200 || !parsed.success) {
        throw createStoreError("StoreUnavailable", `the table service answered ${response.status} to a list`);
    }
    return parsed.data.rows;
}

async function transact(send: PlatformRequester, transaction: Transaction): Promise<TransactionResult> {
    const response = await send({ method: "POST", path: "/v1/transactions", body: transaction });
    if (response.status === BAD_REQUEST) {
        throw createStoreError("StoreUnavailable", "the table service rejected a malformed write");
    }
    const parsed = transactionResultSchema.safeParse(response.body);
    if (!parsed.success) {
        throw createStoreError("StoreAnswerLost", `the table service answered ${response.status} without a result`);
    }
    return parsed.data;
}
