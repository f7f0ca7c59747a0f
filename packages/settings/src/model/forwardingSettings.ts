/** Settings of a host that forwards whole requests, read from a TOML file at start and when the file changes. */
import { z } from "zod";
import { addressSchema, millisecondsSchema } from "./addressSchema.js";

export const forwardingSettingsSchema = z.strictObject({
    host_id: z.string().min(1),
    failure_domain: z.string().min(1),
    listen: z.strictObject({
        callers: addressSchema,
        readiness: addressSchema,
        /** UDP for what hosts tell each other, and TCP for copies of tables. */
        peers: addressSchema,
        metrics: addressSchema,
    }),
    /** IP addresses of hosts to ask before the store can be read. They listen on the same peer port. */
    seeds: z.array(z.string()).default([]),
    store: z.strictObject({
        address: addressSchema,
    }),
    retries: z.strictObject({
        /** Second sends for each request, over all hosts. */
        ratio: z.number().min(0).max(1),
        /** Second sends in each window whatever the number of requests, over all hosts. */
        extra: z.number().min(0),
        window_ms: millisecondsSchema,
    }),
    drain: z.strictObject({
        /** Time from the stop signal until the process is killed. */
        grace_ms: millisecondsSchema,
    }),
    reservations: z.strictObject({
        /** Longest time that memory may stay reserved after its last request. */
        free_ms: millisecondsSchema,
    }).prefault({ free_ms: 4_000 }),
    log_level: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;
