/** What a stand-in really executed and holds, and the faults that it can be told to show. */
import { z } from "zod";

export const ledgerEntrySchema = z.object({
    seq: z.number().int(),
    requestId: z.string(),
    attemptId: z.string(),
    idempotencyKey: z.string().optional(),
    action: z.string(),
    outcome: z.string(),
});
export type LedgerEntry = z.infer<typeof ledgerEntrySchema>;

export const ledgerSchema = z.object({
    entries: z.array(ledgerEntrySchema),
    held: z.array(z.object({ allocationId: z.string(), tokens: z.number(), requestId: z.string() })),
});
export type Ledger = z.infer<typeof ledgerSchema>;

export const faultSchema = z.object({
    /**
     * `outage` answers 503, `slow` delays each answer, `loseAnswers` executes and closes the connection without an
     * answer, `silent` keeps open connections without a byte while new ones work, `freeze` stops all work.
     */
    kind: z.enum(["outage", "slow", "loseAnswers", "silent", "freeze"]),
    durationMs: z.number().int().min(0).max(3_600_000),
});
export type Fault = z.infer<typeof faultSchema>;
