import { z } from "zod";
import { addressSchema, millisecondsSchema } from "./addressSchema.js";

const address = addressSchema;
const milliseconds = (value: number) => millisecondsSchema.default(value);

/** Settings of one host with the model interface, read from a TOML file at startup. */
export const hostSettingsSchema = z.strictObject({
    host_id: z.string().min(1),
    failure_domain: z.string().min(1),
    region: z.string().min(1).default("default"),
    /** Bearer token that operators authenticate with. */
    operator_key: z.string().min(8),
    /** Addresses of peers to request state from at startup, before the host list is readable. */
    seeds: z.array(address).default([]),
    listen: z.strictObject({ callers: address, operators: address, peers: address }),
    platform: z.strictObject({ url: z.url(), timeout_ms: milliseconds(1_000) }),
    limits: z.strictObject({
        default_timeout_ms: milliseconds(30_000),
        max_timeout_ms: milliseconds(3_600_000),
        max_body_bytes: z.number().int().min(1_024).default(16_777_216),
        max_header_bytes: z.number().int().min(1_024).default(16_384),
        allow_synthetic_prompts: z.boolean().default(false),
    }).prefault({}),
    /** Maximum time without progress before a connection is closed and a new one is opened. */
    progress: z.strictObject({
        /** Until an engine accepts a prompt, which it does before it starts prefill. */
        accept_ms: milliseconds(2_000),
        /** Until the first token, in addition to the expected prefill time. */
        first_token_ms: milliseconds(10_000),
        between_tokens_ms: milliseconds(5_000),
        /** Until the response to an idempotent service call. */
        service_ms: milliseconds(10_000),
    }).prefault({}),
    drain: z.strictObject({
        /** Time between reporting not ready and refusing new connections, so that the load balancer can react. */
        notice_ms: z.number().int().min(0).max(600_000).default(5_000),
    }).prefault({}),
    placement: z.strictObject({
        /** Model loads per second that the weight store allows in total over all failure domains. */
        loads_per_second: z.number().min(0.001).max(1_000).default(1),
    }).prefault({}),
    routing: z.strictObject({
        policy: z.enum(["random", "least-loaded", "adaptive"]).default("adaptive"),
        /**
         * Weight, from 0 to 1, of the slowdown of short requests relative to the time to first token over all lengths.
         */
        short_request_weight: z.number().min(0).max(1).default(0.5),
    }).prefault({}),
    log_level: z.enum(["debug", "info", "warn", "error"]).default("info"),
}).superRefine((settings, context) => {
    const { callers, operators, peers } = settings.listen;
    if (new Set([callers, operators, peers]).size < 3) {
        context.addIssue({ code: "custom", path: ["listen"], message: "three different addresses" });
    }
    if (settings.limits.default_timeout_ms > settings.limits.max_timeout_ms) {
        const message = `at most max_timeout_ms, ${settings.limits.max_timeout_ms}`;
        context.addIssue({ code: "custom", path: ["limits", "default_timeout_ms"], message });
    }
});

/** Validated settings with defaults filled in. */
export type HostSettings = z.infer<typeof hostSettingsSchema>;
