/** HTTP API of a model engine. */
import { z } from "zod";

/** An engine of a gang, the set of engines that process one prompt together, and the memory allocated on it. */
export const gangMemberSchema = z.object({ url: z.string(), allocation_id: z.string() });
export type GangMember = z.infer<typeof gangMemberSchema>;

/** Body of `POST /v1/generate`. */
export const generateRequestSchema = z.object({
    request_id: z.string(),
    attempt_id: z.string(),
    model: z.string(),
    prompt: z.string(),
    prompt_tokens: z.number().int().min(1),
    max_tokens: z.number().int().min(1),
    /** Requests with a higher value run first. */
    priority: z.number().int().default(0),
    /** Index of the first token to stream. An earlier attempt delivered the tokens before it. */
    resume_from: z.number().int().min(0).default(0),
    /**
     * KV cache memory that the client allocated for this request. Without it the engine allocates memory for the
     * request.
     */
    allocation_id: z.string().optional(),
    /** The other engines of the gang, if the prompt needs several. */
    members: z.array(gangMemberSchema).default([]),
    /** Hashes of the prompt's prefixes, shortest first. Prefix `i` consists of `getPrefixTokens(i)` tokens. */
    prefix_hashes: z.array(z.string()).default([]),
});
export type GenerateRequest = z.infer<typeof generateRequestSchema>;

/** Length in tokens of the shortest prefix that the prefix cache distinguishes. */
export const SHORTEST_PREFIX_TOKENS = 1_024;

/**
 * Computes the length in tokens of the prefix with this index. Lengths double, which keeps the list of hashes short.
 */
export const getPrefixTokens = (index: number): number => SHORTEST_PREFIX_TOKENS * 2 ** index;

/** One token of a generated answer. */
export const generatedTokenSchema = z.object({
    index: z.number().int(),
    text: z.string(),
    /** Request that the token belongs to, if the engine reports it; used to detect tokens of a different request. */
    request_id: z.string().optional(),
});
/** Payload of one server-sent event. The stream ends with the event `data: [DONE]`. */
export type GeneratedToken = z.infer<typeof generatedTokenSchema>;

/** Data of the last event of every complete stream, from engines and to callers. */
export const STREAM_TERMINATOR = "[DONE]";

/** Which phases an engine runs: prefill, decode, or both (`mixed`). */
export const engineRoleSchema = z.enum(["mixed", "prefill", "decode"]);
export type EngineRole = z.infer<typeof engineRoleSchema>;

/** Load report of an engine: its queue, memory, models and lending state. */
export const engineReportSchema = z.object({
    endpoint_id: z.string(),
    /** Increases by one with each report, so that outdated reports can be detected. */
    sequence: z.number().int(),
    queued_prefill_tokens: z.number(),
    running_requests: z.number().int(),
    slots: z.number().int(),
    memory_used_tokens: z.number(),
    memory_total_tokens: z.number(),
    /** Loaded models with their versions. */
    models: z.array(z.object({ name: z.string(), version: z.string() })),
    role: engineRoleSchema,
    /** Set by the owner. A withdrawn endpoint accepts no new work from borrowers. */
    lending: z.enum(["lent", "withdrawn"]),
    /** Highest fencing token that the engine has received. */
    highest_fence: z.number().int(),
    /** Sequence of the newest prefix cache event. */
    cache_sequence: z.number().int(),
});
export type EngineReport = z.infer<typeof engineReportSchema>;

/** A prefix that the engine stored in its prefix cache or evicted from it. */
export const cacheEventSchema = z.object({
    sequence: z.number().int(),
    action: z.enum(["stored", "evicted"]),
    prefix_hash: z.string(),
    tokens: z.number().int(),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** Request for engine memory. The allocation expires after `ttl_ms` unless it is renewed. */
export const allocationRequestSchema = z.object({
    allocation_id: z.string(),
    request_id: z.string(),
    /** Incarnation of the host that renews and releases the allocation. */
    owner: z.string(),
    tokens: z.number().int().min(1),
    ttl_ms: z.number().int().min(1),
});
export type AllocationRequest = z.infer<typeof allocationRequestSchema>;

/** An allocation that the engine holds, with the time until it expires. */
export const heldAllocationSchema = allocationRequestSchema.omit({ ttl_ms: true }).extend({ remaining_ms: z.number() });
export type HeldAllocation = z.infer<typeof heldAllocationSchema>;

/** Change of the models or the role of an engine. `fence` is the fencing token of the issuing host's lease. */
export const engineOrderSchema = z.object({
    fence: z.number().int(),
    action: z.enum(["load_model", "unload_model", "load_adapter", "set_role"]),
    model: z.string().optional(),
    version: z.string().optional(),
    adapter: z.string().optional(),
    role: engineRoleSchema.optional(),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** Response of `POST /v1/kv/export {attempt_id}`, and body of `POST /v1/kv/import`. */
export const kvStateSchema = z.object({
    request_id: z.string(),
    model: z.string(),
    /** Prompt tokens whose prefill is complete. */
    tokens: z.number().int().min(0),
});
export type KvState = z.infer<typeof kvStateSchema>;

/** Body of `PUT /owner/lending`, a route for the owner of the engine only. */
export const ownerLendingSchema = z.object({ lending: engineReportSchema.shape.lending });
