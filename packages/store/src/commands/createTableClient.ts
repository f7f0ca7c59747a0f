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

/** Client of the platform's table service, which keeps versioned rows and writes them in conditional transactions. */
export interface TableClient {
    /** Reads a row; `undefined` if it is absent. Rejects with `StoreUnavailable` if the read fails. */
    readRow(table: string, key: string): Promise<TableRow | undefined>;
    /** Lists at most `limit` rows whose key starts with `prefix`. Rejects with `StoreUnavailable`. */
    listRows(table: string, prefix: string, limit: number): Promise<TableRow[]>;
    /**
     * Writes rows if all conditions hold. Rejects with `StoreUnavailable` if the transaction was not executed, and with
     * `StoreAnswerLost` if it may have taken effect.
     */
    transact(transaction: Transaction): Promise<TransactionResult>;
}

const rowListSchema = z.object({ rows: z.array(tableRowSchema) });
const BAD_REQUEST = 400;

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
        throw createStoreError(
            "StoreUnavailable",
            `table read failed with status ${response.status} or an invalid body`,
        );
    }
    return parsed.data;
}

async function listRows(send: PlatformRequester, table: string, prefix: string, limit: number): Promise<TableRow[]> {
    const query = new URLSearchParams({ prefix, limit: String(limit) });
    const response = await send({ method: "GET", path: `/v1/tables/${table}/rows?${query.toString()}` });
    const parsed = rowListSchema.safeParse(response.body);
    if (response.status !== 200 || !parsed.success) {
        throw createStoreError(
            "StoreUnavailable",
            `table list failed with status ${response.status} or an invalid body`,
        );
    }
    return parsed.data.rows;
}

async function transact(send: PlatformRequester, transaction: Transaction): Promise<TransactionResult> {
    const response = await send({ method: "POST", path: "/v1/transactions", body: transaction });
    if (response.status === BAD_REQUEST) {
        throw createStoreError("StoreUnavailable", "the table service rejected a malformed transaction");
    }
    const parsed = transactionResultSchema.safeParse(response.body);
    if (!parsed.success) {
        throw createStoreError(
            "StoreAnswerLost",
            `the table service responded with status ${response.status} without a transaction result`,
        );
    }
    return parsed.data;
}
