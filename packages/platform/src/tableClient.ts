/** Client of the platform's table service. */
import { requestJson } from "@currantrill/http";
import {
    type TableRow,
    tableRowSchema,
    type Transaction,
    type TransactionResult,
    transactionResultSchema,
} from "@currantrill/protocol";
import VError from "verror";

export interface TableClientOptions {
    readonly url: string;
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 1_000;

export interface TableClient {
    /** Reads a row; `undefined` if it is absent. Rejects with `StoreUnavailable` if no answer arrives. */
    readRow(table: string, key: string): Promise<TableRow | undefined>;
    /**
     * Writes rows under conditions. Rejects with `StoreUnavailable` if the write was refused unexecuted, and with
     * `StoreAnswerLost` if it may have taken effect.
     */
    transact(transaction: Transaction): Promise<TransactionResult>;
}

const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([400, 429, 503]);

/** Creates a client. */
export function createTableClient(options: TableClientOptions): TableClient {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    return {
        readRow: (table, key) =>
            readRow(`${options.url}/v1/tables/${table}/rows/${encodeURIComponent(key)}`, timeoutMs),
        transact: transaction => transact(`${options.url}/v1/transactions`, transaction, timeoutMs),
    };
}

async function readRow(url: string, timeoutMs: number): Promise<TableRow | undefined> {
    const response = await requestJson(url, { timeoutMs }).catch((error: unknown) => {
        throw new VError({ name: "StoreUnavailable", cause: error as Error }, "cannot read from the table service");
    });
    if (response.status === 404) {
        return undefined;
    }
    if (response.status !== 200) {
        throw new VError({ name: "StoreUnavailable" }, "the table service answered %d to a read", response.status);
    }
    return tableRowSchema.parse(response.body);
}

async function transact(url: string, transaction: Transaction, timeoutMs: number): Promise<TransactionResult> {
    const response = await requestJson(url, { method: "POST", body: transaction, timeoutMs }).catch(
        (error: unknown) => {
            throw new VError(
                { name: "StoreAnswerLost", cause: error as Error },
                "no answer to a write of the table service",
            );
        },
    );
    if (NOT_EXECUTED_STATUSES.has(response.status)) {
        throw new VError({ name: "StoreUnavailable" }, "the table service answered %d to a write", response.status);
    }
    const parsed = transactionResultSchema.safeParse(response.body);
    if (!parsed.success) {
        throw new VError(
            { name: "StoreAnswerLost" },
            "the table service answered %d without a result",
            response.status,
        );
    }
    return parsed.data;
}
