/** Settings of one host, read from a TOML file at start. */
import { z } from "zod";

const IP_AND_PORT = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const address = z.string().regex(IP_AND_PORT, "an IP address and port such as 10.0.0.1:7100");
const milliseconds = (value: number) => z.number().int().min(1).max(86_400_000).default(value);

export const hostSettingsSchema = z.strictObject({
    host_id: z.string().min(1),
    failure_domain: z.string().min(1),
    region: z.string().min(1).default("default"),
    /** Key that operators send as a bearer token. */
    operator_key: z.string().min(8),
    /** Peer addresses to ask for state at start, before the host list can be read. */
    seeds: z.array(address).default([]),
    listen: z.strictObject({ callers: address, operators: address, peers: address }),
    platform: z.strictObject({ url: z.url(), timeout_ms: milliseconds(1_000) }),
    limits: z.strictObject({
        default_timeout_ms: milliseconds(30_000),
        max_timeout_ms: milliseconds(3_600_000),
        max_body_bytes: z.number().int().min(1_024).default(16_777_216),
        allow_synthetic_prompts: z.boolean().default(false),
    }).prefault({}),
    routing: z.strictObject({
        policy: z.enum(["random", "least-loaded", "adaptive"]).default("adaptive"),
        /** Weight of the slowdown of short requests against time to first token across lengths, from 0 to 1. */
        short_request_weight: z.number().min(0).max(1).default(0.5),
    }).prefault({}),
    log_level: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

export type HostSettings = z.infer<typeof hostSettingsSchema>;
