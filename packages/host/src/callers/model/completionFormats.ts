/** Answers of the two completion interfaces. */
import type { RequestId, Usage } from "@currantrill/protocol";
import type { CompletionKind, PromptRequest } from "./promptRequest.js";

export type FinishReason = "stop" | "length";

interface CompletionFormat {
    readonly answerObject: string;
    readonly chunkObject: string;
    formatDelta(text: string): Record<string, unknown>;
    formatText(text: string): Record<string, unknown>;
}

const completionFormats: Record<CompletionKind, CompletionFormat> = {
    chat: {
        answerObject: "chat.completion",
        chunkObject: "chat.completion.chunk",
        formatDelta: text => ({ delta: text === "" ? {} : { content: text } }),
        formatText: text => ({ message: { role: "assistant", content: text } }),
    },
    text: {
        answerObject: "text_completion",
        chunkObject: "text_completion.chunk",
        formatDelta: text => ({ text }),
        formatText: text => ({ text }),
    },
};

/** One event of a streamed answer. */
export function formatChunk(
    request: PromptRequest,
    requestId: RequestId,
    text: string,
    finishReason: FinishReason | null,
): unknown {
    const format = completionFormats[request.kind];
    return {
        id: requestId,
        object: format.chunkObject,
        model: request.model,
        choices: [{ index: 0, ...format.formatDelta(text), finish_reason: finishReason }],
    };
}

/** A plain answer. */
export function formatAnswer(request: PromptRequest, requestId: RequestId, texts: readonly string[]): unknown {
    const format = completionFormats[request.kind];
    const usage: Usage = {
        prompt_tokens: request.promptTokens,
        completion_tokens: texts.length,
        total_tokens: request.promptTokens + texts.length,
    };
    const finishReason: FinishReason = texts.length >= request.maxTokens ? "length" : "stop";
    return {
        id: requestId,
        object: format.answerObject,
        model: request.model,
        choices: [{ index: 0, ...format.formatText(texts.join("")), finish_reason: finishReason }],
        usage,
    };
}
