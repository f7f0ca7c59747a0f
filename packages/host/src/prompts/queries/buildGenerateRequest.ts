import type { AttemptId, GenerateRequest } from "@currantrill/protocol";
import { createAttemptId } from "../../model/hostContext.js";
import type { PromptJob } from "../model/promptJob.js";

/** Builds the request body of a new attempt, which resumes after the tokens received from earlier attempts. */
export function buildGenerateRequest(job: PromptJob, priority: number): GenerateRequest & { attempt_id: AttemptId; } {
    const { request, scope, stream } = job;
    return {
        request_id: scope.requestId,
        attempt_id: createAttemptId(),
        model: request.model,
        prompt: request.prompt,
        prompt_tokens: request.promptTokens,
        max_tokens: request.maxTokens,
        priority,
        resume_from: stream.nextIndex,
        members: [],
        prefix_hashes: [...request.prefixHashes],
    };
}
