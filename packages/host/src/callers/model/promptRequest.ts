/** A validated completion request of either API. */
import type { LengthClass } from "@currantrill/core";
import type { ModelId } from "@currantrill/protocol";

/** The API of a request: chat completions or text completions. */
export type CompletionKind = "chat" | "text";

/** A prompt in the form that both APIs are converted to. */
export interface PromptRequest {
    readonly kind: CompletionKind;
    readonly model: ModelId;
    /** Largest number of tokens to generate. */
    readonly maxTokens: number;
    /** Whether the caller wants server-sent events. */
    readonly stream: boolean;
    /** Prompt text. Chat messages are joined into one text. */
    readonly prompt: string;
    /** Estimated length of the prompt, or the length that a synthetic prompt declares. */
    readonly promptTokens: number;
    readonly lengthClass: LengthClass;
    /** Hashes of the prompt's prefixes, shortest first; see `getPrefixTokens`. */
    readonly prefixHashes: readonly string[];
}
