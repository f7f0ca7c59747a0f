/** Parses completion requests and validates them against the configured models. */
import { type Configuration, findObject, getLengthClass, type ModelObject } from "@currantrill/core";
import {
    type ChatCompletionRequest,
    chatCompletionRequestSchema,
    type CompletionRequest,
    completionRequestSchema,
    toModelId,
} from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import { isUtf8 } from "node:buffer";
import type { z } from "zod";
import { CallerError } from "../model/callerError.js";
import type { CompletionKind, PromptRequest } from "../model/promptRequest.js";
import { computePrefixHashes } from "./computePrefixHashes.js";

/** Estimate, since the host has no tokenizer. */
const BYTES_PER_TOKEN = 4;

const schemas: Record<CompletionKind, z.ZodType<CompletionRequest | ChatCompletionRequest>> = {
    chat: chatCompletionRequestSchema,
    text: completionRequestSchema,
};

/**
 * Parses the body of a completion request. Throws a `CallerError` that names the invalid field. Only hosts that allow
 * synthetic prompts accept `prompt_tokens`.
 */
export function parsePrompt(
    kind: CompletionKind,
    body: Buffer,
    configuration: Configuration,
    limits: HostSettings["limits"],
): PromptRequest {
    const parsed = schemas[kind].safeParse(parseJson(body));
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        const field = issue?.path.join(".") ?? "";
        throw new CallerError("bad_request", {
            ...(issue === undefined ? {} : { message: issue.message }),
            ...(field === "" ? {} : { field }),
        });
    }
    const data = parsed.data;
    if (data.prompt_tokens !== undefined && !limits.allow_synthetic_prompts) {
        throw new CallerError("synthetic_prompt");
    }
    const model = findModel(configuration, data.model);
    const prompt = "prompt" in data
        ? data.prompt
        : data.messages.map(message => `${message.role}: ${message.content}`).join("\n");
    const promptTokens = data.prompt_tokens ?? estimateTokens(prompt);
    if (promptTokens > model.maxPromptTokens) {
        throw new CallerError("prompt_too_long", {
            message: `The model takes up to ${model.maxPromptTokens} prompt tokens; these are ${promptTokens}.`,
            field: "prompt" in data ? "prompt" : "messages",
        });
    }
    return {
        kind,
        model: toModelId(data.model),
        maxTokens: data.max_tokens,
        stream: data.stream,
        prompt,
        promptTokens,
        lengthClass: getLengthClass(promptTokens),
        prefixHashes: computePrefixHashes(data.model, prompt),
    };
}

const estimateTokens = (text: string): number => Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));

function parseJson(body: Buffer): unknown {
    if (!isUtf8(body)) {
        throw new CallerError("bad_json");
    }
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        throw new CallerError("bad_json");
    }
}

function findModel(configuration: Configuration, name: string): ModelObject {
    const model = findObject(configuration, "model", name);
    if (model === undefined) {
        throw new CallerError("unknown_model");
    }
    return model;
}
