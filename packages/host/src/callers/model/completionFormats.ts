/** Response formats of the two completion APIs: chat completions and text completions. */
import type { RequestId, Usage } from "@currantrill/protocol";
import type { CompletionKind, PromptRequest } from "./promptRequest.js";

/** `length` if the completion has `max_tokens` tokens, `stop` if the engine ended it earlier. */
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

/** Formats one event of a streamed completion. `finishReason` is `null` unless it is the last one. */
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

/** Formats a completion that is not streamed. */
export function formatCompletion(request: PromptRequest, requestId: RequestId, texts: readonly string[]): unknown {
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
