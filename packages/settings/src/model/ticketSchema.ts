/** TOML form of a change ticket. */
import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "a name of lower-case letters, digits, dots and dashes");
const replaces = z.number().int().min(0);
const milliseconds = z.number().int().min(0).max(86_400_000);

const poolSchema = z.strictObject({ name, replaces, owner: name, serves: z.enum(["engine", "service"]) });

const endpointSchema = z.strictObject({
    name,
    replaces,
    pool: name,
    url: z.url(),
    failure_domain: name,
    lending: z.enum(["lent", "reclaimed"]).default("lent"),
    lend_epoch: z.number().int().min(1).default(1),
    max_silence_ms: milliseconds.default(900_000),
    grace_ms: milliseconds.default(3_000),
    checks_fencing: z.boolean().default(true),
    memory_tokens: z.number().int().min(0).default(0),
    slots: z.number().int().min(1).default(16),
    prefill_tokens_per_second: z.number().min(1).default(20_000),
    decode_tokens_per_second: z.number().min(1).default(50),
});

const workspaceSchema = z.strictObject({
    name,
    replaces,
    key_sha256: z.string().regex(/^[0-9a-f]{64}$/, "64 lower-case hexadecimal digits"),
    tokens_per_second: z.number().min(1),
    burst_tokens: z.number().min(1),
    max_concurrent: z.number().int().min(1),
    weight: z.number().min(0.01).max(100).default(1),
});

const ruleSchema = z.strictObject({
    name,
    replaces,
    workspace: name,
    pools: z.array(name).min(1),
    max_share: z.number().gt(0).max(1).default(1),
});

const modelSchema = z.strictObject({
    name,
    replaces,
    version: z.string().min(1),
    adapters: z.array(z.string()).default([]),
    pools: z.array(name).min(1),
    replicas: z.number().int().min(1),
    max_prompt_tokens: z.number().int().min(1).max(1_048_576),
});

const serviceSchema = z.strictObject({
    name,
    replaces,
    pool: name,
    operations: z.array(z.strictObject({
        method: z.string().regex(/^([A-Z]+|\*)$/, "an HTTP method in capitals, or *"),
        path: z.string().startsWith("/"),
        idempotent: z.boolean(),
    })).default([]),
});

export const ticketSchema = z.strictObject({
    ticket: z.number().int().min(1),
    summary: z.string().min(1),
    pools: z.array(poolSchema).default([]),
    endpoints: z.array(endpointSchema).default([]),
    workspaces: z.array(workspaceSchema).default([]),
    rules: z.array(ruleSchema).default([]),
    models: z.array(modelSchema).default([]),
    services: z.array(serviceSchema).default([]),
    remove: z.array(z.strictObject({
        kind: z.enum(["pool", "endpoint", "workspace", "rule", "model", "service"]),
        name,
        replaces: z.number().int().min(1),
    })).default([]),
});

export type TicketDocument = z.infer<typeof ticketSchema>;
