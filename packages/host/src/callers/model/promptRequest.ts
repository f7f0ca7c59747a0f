/** A completion request of either interface, after its checks. */
import type { LengthClass } from "@currantrill/core";
import type { ModelId } from "@currantrill/protocol";

export type CompletionKind = "chat" | "text";

export interface PromptRequest {
    readonly kind: CompletionKind;
    readonly model: ModelId;
    readonly maxTokens: number;
    readonly stream: boolean;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly lengthClass: LengthClass;
    /** Hashes of the prompt's prefixes, shortest first; see `getPrefixTokens`. */
    readonly prefixHashes: readonly string[];
}
