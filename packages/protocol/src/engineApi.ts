/** The HTTP interface of a model engine. */
import { z } from "zod";

export const gangMemberSchema = z.object({ url: z.string(), allocation_id: z.string() });
export type GangMember = z.infer<typeof gangMemberSchema>;

export const generateRequestSchema = z.object({
    request_id: z.string(),
    attempt_id: z.string(),
    model: z.string(),
    prompt: z.string(),
    prompt_tokens: z.number().int().min(1),
    max_tokens: z.number().int().min(1),
    /** Higher runs first. */
    priority: z.number().int().default(0),
    /** Index of the first token to send. Earlier tokens were delivered by another attempt. */
    resume_from: z.number().int().min(0).default(0),
    /** Memory that the caller holds for this request. Without it the engine allocates for the time of the request. */
    allocation_id: z.string().optional(),
    /** The other engines of a prompt that needs several. */
    members: z.array(gangMemberSchema).default([]),
    /** Hashes of the prompt's prefixes, shortest first. Prefix `i` covers `getPrefixTokens(i)` tokens. */
    prefix_hashes: z.array(z.string()).default([]),
});
export type GenerateRequest = z.infer<typeof generateRequestSchema>;

/** Tokens of the shortest prefix that the prefix cache tells apart. */
export const SHORTEST_PREFIX_TOKENS = 1_024;

/** Length of the prefix with this index: each is twice as long as the one before, which keeps the list short. */
export const getPrefixTokens = (index: number): number => SHORTEST_PREFIX_TOKENS * 2 ** index;

export const generatedTokenSchema = z.object({
    index: z.number().int(),
    text: z.string(),
    /** Request that the token answers, where the engine names it, so that a mixed-up answer can be told apart. */
    request_id: z.string().optional(),
});
/** Payload of one server-sent event. The stream ends with the event `data: [DONE]`. */
export type GeneratedToken = z.infer<typeof generatedTokenSchema>;

/** Terminator of every complete event stream, towards callers as well. */
export const STREAM_TERMINATOR = "[DONE]";

export const engineRoleSchema = z.enum(["mixed", "prefill", "decode"]);
export type EngineRole = z.infer<typeof engineRoleSchema>;

export const engineReportSchema = z.object({
    endpoint_id: z.string(),
    /** Increases by one with each report, so that a reader can tell an old report from a new one. */
    sequence: z.number().int(),
    queued_prefill_tokens: z.number(),
    running_requests: z.number().int(),
    slots: z.number().int(),
    memory_used_tokens: z.number(),
    memory_total_tokens: z.number(),
    /** Loaded models with their versions. */
    models: z.array(z.object({ name: z.string(), version: z.string() })),
    role: engineRoleSchema,
    /** The owner's wish. A withdrawn endpoint takes no new work from borrowers. */
    lending: z.enum(["lent", "withdrawn"]),
    highest_fence: z.number().int(),
    cache_sequence: z.number().int(),
});
export type EngineReport = z.infer<typeof engineReportSchema>;

export const cacheEventSchema = z.object({
    sequence: z.number().int(),
    action: z.enum(["stored", "evicted"]),
    prefix_hash: z.string(),
    tokens: z.number().int(),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

export const allocationRequestSchema = z.object({
    allocation_id: z.string(),
    request_id: z.string(),
    /** Host incarnation that renews and releases the allocation. */
    owner: z.string(),
    tokens: z.number().int().min(1),
    ttl_ms: z.number().int().min(1),
});
export type AllocationRequest = z.infer<typeof allocationRequestSchema>;

export const heldAllocationSchema = allocationRequestSchema.omit({ ttl_ms: true }).extend({ remaining_ms: z.number() });
export type HeldAllocation = z.infer<typeof heldAllocationSchema>;

export const engineOrderSchema = z.object({
    fence: z.number().int(),
    action: z.enum(["load_model", "unload_model", "load_adapter", "set_role"]),
    model: z.string().optional(),
    version: z.string().optional(),
    adapter: z.string().optional(),
    role: engineRoleSchema.optional(),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** Answer to `POST /v1/kv/export {attempt_id}`, and the body of `POST /v1/kv/import`. */
export const kvStateSchema = z.object({
    request_id: z.string(),
    model: z.string(),
    /** Prompt tokens whose prefill is done. */
    tokens: z.number().int().min(0),
});
export type KvState = z.infer<typeof kvStateSchema>;

/** Body of `PUT /owner/lending`, which only the owner of the engine calls. */
export const ownerLendingSchema = z.object({ lending: engineReportSchema.shape.lending });
