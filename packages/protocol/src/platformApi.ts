/** HTTP API of the platform's table service, object store, host list and weight store. */
import { z } from "zod";

/** Any value that can be represented in JSON. */
export type JsonValue = string | number | boolean | null | JsonValue[] | { [key: string]: JsonValue; };

/** Response of `GET /v1/tables/<table>/rows/<key>`, and element of a list of rows. */
export const tableRowSchema = z.object({ key: z.string(), version: z.number().int().min(1), value: z.json() });
/** A table row. Its version increases by one with each write. */
export type TableRow = z.infer<typeof tableRowSchema>;

/** Body of `POST /v1/transactions`: writes that take effect together, and only if all conditions hold. */
export const transactionSchema = z.object({
    /**
     * Identifies this attempt, so that after a lost response the client can distinguish its write from another
     * client's.
     */
    attemptId: z.string(),
    /** The transaction is committed only if every row has the given version; 0 means that the row does not exist. */
    conditions: z.array(z.object({ table: z.string(), key: z.string(), version: z.number().int().min(0) })),
    /** `null` deletes the row. */
    writes: z.array(z.object({ table: z.string(), key: z.string(), value: z.json() })),
});
export type Transaction = z.infer<typeof transactionSchema>;

/** Response of `POST /v1/transactions`, for a committed transaction and for one whose conditions failed. */
export const transactionResultSchema = z.discriminatedUnion("committed", [
    z.object({ committed: z.literal(true), versions: z.record(z.string(), z.number()) }),
    z.object({
        committed: z.literal(false),
        conflicts: z.array(z.object({ table: z.string(), key: z.string(), version: z.number().int() })),
    }),
]);
/**
 * Result of a transaction. `versions` maps `<table>/<key>` to the new row version; `conflicts` lists the conditions
 * that failed.
 */
export type TransactionResult = z.infer<typeof transactionResultSchema>;

/** An entry of the platform's host list. */
export const listedHostSchema = z.object({
    id: z.string(),
    failureDomain: z.string(),
    /** `ip:port` of the peer listener. */
    peerAddress: z.string(),
    incarnation: z.string(),
    state: z.enum(["live", "leaving"]),
});
export type ListedHost = z.infer<typeof listedHostSchema>;

/** Response of `GET /v1/weights/<model>/<version>`. */
export const weightsSchema = z.object({ model: z.string(), version: z.string(), bytes: z.number() });
