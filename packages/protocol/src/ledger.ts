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
     * `outage` answers 503, `slow` delays each request, `loseAnswers` executes and closes the connection without an
     * answer, `silent` leaves the open connections open without a byte while new ones work, `freeze` stops all work
     * and answers later.
     */
    kind: z.enum(["outage", "slow", "loseAnswers", "silent", "freeze"]),
    /** 0 ends the current fault. */
    durationMs: z.number().int().min(0).max(3_600_000),
    /** Requests that the fault acts on; without it, all. */
    count: z.number().int().min(1).optional(),
    /** Part of the requests that the fault acts on, drawn with `seed`. */
    probability: z.number().gt(0).max(1).default(1),
    seed: z.number().int().default(1),
    /** Start of the paths that the fault acts on. */
    path: z.string().default("/"),
    /** Delay of each request under `slow`. */
    delayMs: z.number().int().min(0).max(60_000).default(400),
});
export type Fault = z.infer<typeof faultSchema>;
/** A fault as a client states it, without the defaults. */
export type FaultRequest = z.input<typeof faultSchema>;
