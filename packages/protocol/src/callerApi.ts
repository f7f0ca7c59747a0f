/** The callers' HTTP interface: headers, request bodies and the error object. */
import { z } from "zod";

/** Header names in the lower case that Node.js reports. */
export const callerHeaders = {
    authorization: "authorization",
    idempotencyKey: "idempotency-key",
    timeout: "x-request-timeout-ms",
    priority: "x-priority",
    requestId: "x-request-id",
    outcome: "x-outcome",
    retryAfter: "retry-after",
} as const;

/** What happened to a request, as far as the host can vouch for it. */
export type Outcome = "answered" | "not_run" | "outcome_unknown";

export const prioritySchema = z.enum(["interactive", "standard", "batch"]);
export type Priority = z.infer<typeof prioritySchema>;

const generationFields = {
    model: z.string().min(1),
    max_tokens: z.number().int().min(1).max(65_536).default(64),
    stream: z.boolean().default(false),
    /** Length of a synthetic prompt in tokens. Accepted only where the host's settings allow it. */
    prompt_tokens: z.number().int().min(1).max(1_048_576).optional(),
};

export const completionRequestSchema = z.object({ ...generationFields, prompt: z.string() });
export type CompletionRequest = z.infer<typeof completionRequestSchema>;

export const chatCompletionRequestSchema = z.object({
    ...generationFields,
    messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
});
export type ChatCompletionRequest = z.infer<typeof chatCompletionRequestSchema>;

export interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
}

export interface CallerErrorBody {
    readonly error: {
        readonly code: string;
        readonly message: string;
        readonly outcome: "not_run" | "outcome_unknown";
        /** Request field or header that has to change. */
        readonly field?: string;
    };
}
