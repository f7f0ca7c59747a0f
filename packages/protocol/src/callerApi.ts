/** HTTP API for callers: headers, request bodies and the error body. */
import { z } from "zod";

/** Header names, in lower case as Node.js reports them. */
export const callerHeaders = {
    authorization: "authorization",
    idempotencyKey: "idempotency-key",
    timeout: "x-request-timeout-ms",
    priority: "x-priority",
    requestId: "x-request-id",
    outcome: "x-outcome",
    retryAfter: "retry-after",
} as const;

/**
 * What the host can guarantee about the execution of a request. `answered`: a response was received; `not_run`: it was
 * not executed; `outcome_unknown`: it may have been executed.
 */
export type Outcome = "answered" | "not_run" | "outcome_unknown";

/** Values of the priority header. */
export const prioritySchema = z.enum(["interactive", "standard", "batch"]);
export type Priority = z.infer<typeof prioritySchema>;

const generationFields = {
    model: z.string().min(1),
    max_tokens: z.number().int().min(1).max(65_536).default(64),
    stream: z.boolean().default(false),
    /** Length in tokens of a synthetic prompt. Accepted only if the host's settings allow synthetic prompts. */
    prompt_tokens: z.number().int().min(1).max(1_048_576).optional(),
};

/** Body of `POST /v1/completions`. */
export const completionRequestSchema = z.object({ ...generationFields, prompt: z.string() });
export type CompletionRequest = z.infer<typeof completionRequestSchema>;

/** Body of `POST /v1/chat/completions`. */
export const chatCompletionRequestSchema = z.object({
    ...generationFields,
    messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
});
export type ChatCompletionRequest = z.infer<typeof chatCompletionRequestSchema>;

/** Token counts of a request, as part of its response. */
export interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
}

/** Body of an error response to a caller. */
export interface CallerErrorBody {
    readonly error: {
        readonly code: string;
        readonly message: string;
        readonly outcome: "not_run" | "outcome_unknown";
        /** Request field or header that must be changed. */
        readonly field?: string;
    };
}
