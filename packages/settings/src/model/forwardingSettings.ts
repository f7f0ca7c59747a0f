import { z } from "zod";
import { addressSchema, millisecondsSchema } from "./addressSchema.js";

/** Less is a mistake in the settings: a process without callers takes more. Small hosts get the smallest budget for callers. */
const MIN_MEMORY_MB = 64;
const bytesSchema = z.number().int().min(1);

/** Settings of a host that forwards whole requests, read from a TOML file at startup and whenever the file changes. */
export const forwardingSettingsSchema = z.strictObject({
    host_id: z.string().min(1),
    failure_domain: z.string().min(1),
    listen: z.strictObject({
        callers: addressSchema,
        readiness: addressSchema,
        /** UDP for messages between hosts, and TCP for peer table synchronization. */
        peers: addressSchema,
        metrics: addressSchema,
    }),
    /**
     * IP addresses of peers to contact before the store is readable. They listen on the same peer port as this host.
     */
    seeds: z.array(z.string()).default([]),
    store: z.strictObject({
        address: addressSchema,
    }),
    retries: z.strictObject({
        /** Allowed retries as a fraction of the requests, over all hosts. */
        ratio: z.number().min(0).max(1),
        /** Additional retries allowed in each window regardless of the number of requests, over all hosts. */
        extra: z.number().min(0),
        window_ms: millisecondsSchema,
    }),
    drain: z.strictObject({
        /** Time from the stop signal until the process is killed. */
        grace_ms: millisecondsSchema,
    }),
    reservations: z.strictObject({
        /** Maximum time that memory stays reserved after its last request. */
        free_ms: millisecondsSchema,
    }).prefault({ free_ms: 4_000 }),
    processor: z.strictObject({
        /** Number of cores. Hosts with the most capacity coordinate their failure domain. */
        cores: z.number().positive().default(1),
        /** Fraction of each core that this host may use. */
        share: z.number().positive().default(1),
    }).prefault({}),
    limits: z.strictObject({
        /** File descriptors that the process may have open. Most of them are connections of callers and to endpoints. */
        file_descriptors: z.number().int().min(1).default(4_200),
        /** Memory of the host. What callers may make the process hold is derived from it. */
        memory_mb: z.number().min(MIN_MEMORY_MB).default(202),
    }).prefault({}),
    requests: z.strictObject({
        /** Most memory that bodies of requests occupy at the same time; a request beyond it is refused. */
        max_buffered_bytes: bytesSchema.default(48 * 1024 * 1024),
    }).prefault({}),
    /** Limits on responses of endpoints. A response over a limit counts as broken, and its connection is closed. */
    responses: z.strictObject({
        /** Longest body of a response that is not a stream, and of an error response. */
        max_body_bytes: bytesSchema.default(8 * 1024 * 1024),
        /** Most bytes of a stream without an event. */
        max_event_bytes: bytesSchema.default(1024 * 1024),
        /** Most memory that bodies of responses occupy at the same time. */
        max_buffered_bytes: bytesSchema.default(48 * 1024 * 1024),
    }).prefault({}),
    /** Parts of prompts that crash endpoints, which are refused for a time. */
    quarantine: z.strictObject({
        /**
         * Crashes that prove a part to be at fault, if no prompt with it has been answered since the first one. With
         * two, a prompt that happens to be on two endpoints that fail would be blamed.
         */
        crashes: z.number().int().min(2).default(3),
        /** Time until one prompt with the part is tried again. It doubles with each failed trial, up to 16 times. */
        retry_after_ms: millisecondsSchema.default(30_000),
        /** Time after which a part is forgotten if there was no trial of it. */
        forget_after_ms: millisecondsSchema.default(1_800_000),
    }).prefault({}),
    log_level: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Validated settings with defaults filled in. */
export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;
