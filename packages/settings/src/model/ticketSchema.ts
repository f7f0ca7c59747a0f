import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "a name of lower-case letters, digits, dots and dashes");
/** Number of the ticket that last changed the object; 0 if the object must not exist yet. */
const replaces = z.number().int().min(0);
const milliseconds = z.number().int().min(0).max(86_400_000);

/** A group of endpoints that the workspace `owner` owns and lends. */
const poolSchema = z.strictObject({ name, replaces, owner: name, serves: z.enum(["engine", "service"]) });

/** An engine or service process at `url`, and the conditions under which its owner lends it. */
const endpointSchema = z.strictObject({
    name,
    replaces,
    pool: name,
    url: z.url(),
    failure_domain: name,
    lending: z.enum(["lent", "reclaimed"]).default("lent"),
    /** Raised to lend the endpoint again after a local stop. */
    lend_epoch: z.number().int().min(1).default(1),
    /** Maximum time that a host may use the endpoint without confirmation of its configuration. */
    max_silence_ms: milliseconds.default(900_000),
    /** Time that work in flight has to finish after a reclaim. */
    grace_ms: milliseconds.default(3_000),
    /** Whether the endpoint rejects orders with an outdated fencing token. */
    checks_fencing: z.boolean().default(true),
    /** KV cache capacity in tokens; 0 for a service. */
    memory_tokens: z.number().int().min(0).default(0),
    /** Maximum number of concurrent requests. */
    slots: z.number().int().min(1).default(16),
    prefill_tokens_per_second: z.number().min(1).default(20_000),
    decode_tokens_per_second: z.number().min(1).default(50),
});

/** A workspace with the hash of its caller key and its limits. */
const workspaceSchema = z.strictObject({
    name,
    replaces,
    /** SHA-256 hash of the caller key. */
    key_sha256: z.string().regex(/^[0-9a-f]{64}$/, "64 lower-case hexadecimal digits"),
    tokens_per_second: z.number().min(1),
    burst_tokens: z.number().min(1),
    max_concurrent: z.number().int().min(1),
    /** Share under contention, relative to the other workspaces. */
    weight: z.number().min(0.01).max(100).default(1),
});

/** Allows a workspace to use pools, in order of preference. */
const ruleSchema = z.strictObject({
    name,
    replaces,
    workspace: name,
    pools: z.array(name).min(1),
    /** Maximum fraction of a borrowed pool's slots that the workspace may occupy. */
    max_share: z.number().gt(0).max(1).default(1),
});

/** A model, and the pools whose endpoints load it. */
const modelSchema = z.strictObject({
    name,
    replaces,
    version: z.string().min(1),
    adapters: z.array(z.string()).default([]),
    pools: z.array(name).min(1),
    /** Number of endpoints in each pool that load the model. */
    replicas: z.number().int().min(1),
    max_prompt_tokens: z.number().int().min(1).max(1_048_576),
});

/** A service. Calls that match no operation are treated as not idempotent. */
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

/** Whether a failure domain takes new work. `in_service` returns an evacuated domain. */
const domainSchema = z.strictObject({ name, replaces, state: z.enum(["evacuated", "in_service"]) });

/**
 * TOML document of a change ticket: a set of configuration objects to create, replace or remove together. Each object
 * names the ticket that last changed it in `replaces`, so that concurrent changes are detected.
 */
export const ticketSchema = z.strictObject({
    ticket: z.number().int().min(1),
    summary: z.string().min(1),
    pools: z.array(poolSchema).default([]),
    endpoints: z.array(endpointSchema).default([]),
    workspaces: z.array(workspaceSchema).default([]),
    rules: z.array(ruleSchema).default([]),
    models: z.array(modelSchema).default([]),
    services: z.array(serviceSchema).default([]),
    domains: z.array(domainSchema).default([]),
    remove: z.array(z.strictObject({
        kind: z.enum(["pool", "endpoint", "workspace", "rule", "model", "service", "domain"]),
        name,
        replaces: z.number().int().min(1),
    })).default([]),
});

/** A parsed document with defaults filled in. */
export type TicketDocument = z.infer<typeof ticketSchema>;
