/** Test API of the stand-ins: the ledger of what a stand-in executed and allocated, and the faults it can simulate. */
import { z } from "zod";

/** One executed action. */
export const ledgerEntrySchema = z.object({
    seq: z.number().int(),
    requestId: z.string(),
    attemptId: z.string(),
    idempotencyKey: z.string().optional(),
    action: z.string(),
    outcome: z.string(),
});
export type LedgerEntry = z.infer<typeof ledgerEntrySchema>;

/** Everything that a stand-in executed, in order, and the allocations that it currently holds. */
export const ledgerSchema = z.object({
    entries: z.array(ledgerEntrySchema),
    held: z.array(z.object({ allocationId: z.string(), tokens: z.number(), requestId: z.string() })),
});
export type Ledger = z.infer<typeof ledgerSchema>;

/** A fault to simulate for a limited time. */
export const faultSchema = z.object({
    /**
     * `outage` responds with 503, `slow` delays each request, `loseAnswers` executes the request and closes the
     * connection without a response, `silent` keeps existing connections open without sending a byte while new ones
     * work, `freeze` suspends all work and responds later.
     */
    kind: z.enum(["outage", "slow", "loseAnswers", "silent", "freeze"]),
    /** 0 ends the current fault. */
    durationMs: z.number().int().min(0).max(3_600_000),
    /** Number of requests that the fault affects; all of them if absent. */
    count: z.number().int().min(1).optional(),
    /** Fraction of the requests that the fault affects, selected pseudo-randomly with `seed`. */
    probability: z.number().gt(0).max(1).default(1),
    seed: z.number().int().default(1),
    /** Prefix of the request paths that the fault affects. */
    path: z.string().default("/"),
    /** Delay of each request for the kind `slow`. */
    delayMs: z.number().int().min(0).max(60_000).default(400),
});
export type Fault = z.infer<typeof faultSchema>;
/** A fault as a client sends it, before defaults are filled in. */
export type FaultRequest = z.input<typeof faultSchema>;
