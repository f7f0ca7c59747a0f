/** Serves a completion, plain or streamed. */
import { type EndpointObject, listObjects } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import { sendJson } from "@currantrill/http";
import {
    type ChatCompletionRequest,
    chatCompletionRequestSchema,
    type CompletionRequest,
    completionRequestSchema,
    type GenerateRequest,
    type RequestId,
    STREAM_TERMINATOR,
} from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { generateTokens } from "../../endpoints/commands/generateTokens.js";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import { CallerError } from "../model/callerError.js";
import { findWorkspace } from "../queries/findWorkspace.js";
import { parseTimeout } from "../queries/parseTimeout.js";

const BYTES_PER_TOKEN = 4;

export type CompletionKind = "chat" | "text";

interface PromptRequest {
    readonly model: string;
    readonly maxTokens: number;
    readonly stream: boolean;
    readonly prompt: string;
    readonly promptTokens: number;
}

/** Serves one request. Throws `CallerError` before the first token; later failures end the stream with an error event. */
export async function handleCompletion(
    context: HostContext,
    kind: CompletionKind,
    requestId: RequestId,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    findWorkspace(context, request.headers);
    const timeoutMs = parseTimeout(context, request.headers);
    const prompt = parsePrompt(kind, request.body);
    const endpoint = selectEndpoint(context, prompt);
    context.log.info({ requestId, endpoint: endpoint.name }, "routing: endpoint chosen");
    const signal = AbortSignal.timeout(timeoutMs);
    const tokens = generateTokens(endpoint.url, buildGenerateRequest(requestId, prompt), signal);
    const texts: string[] = [];
    for await (const token of tokens) {
        if (prompt.stream) {
            writeEvent(response, buildChunk(kind, requestId, prompt, token.text));
        }
        texts.push(token.text);
    }
    if (prompt.stream) {
        response.end(`data: ${STREAM_TERMINATOR}\n\n`);
        return;
    }
    sendJson(response, 200, buildAnswer(kind, requestId, prompt, texts), { "x-outcome": "answered" });
}

function parsePrompt(kind: CompletionKind, body: unknown): PromptRequest {
    const parsed = kind === "chat"
        ? chatCompletionRequestSchema.safeParse(body)
        : completionRequestSchema.safeParse(body);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        throw new CallerError({
            status: 400,
            code: "bad_request",
            message: issue?.message ?? "The body is not a completion request.",
            field: issue?.path.join(".") ?? "",
        });
    }
    const data: CompletionRequest | ChatCompletionRequest = parsed.data;
    const prompt = "prompt" in data
        ? data.prompt
        : data.messages.map(message => `${message.role}: ${message.content}`).join("\n");
    return {
        model: data.model,
        maxTokens: data.max_tokens,
        stream: data.stream,
        prompt,
        promptTokens: data.prompt_tokens ?? Math.max(1, Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN)),
    };
}

function selectEndpoint(context: HostContext, prompt: PromptRequest): EndpointObject {
    const model = listObjects(context.configuration.current, "model").find(entry => entry.name === prompt.model);
    if (model === undefined) {
        throw new CallerError({
            status: 404,
            code: "unknown_model",
            message: "No such model; GET /v1/models lists them.",
            field: "model",
        });
    }
    const endpoints = listObjects(context.configuration.current, "endpoint").filter(entry =>
        model.pools.includes(entry.pool)
    );
    const endpoint = endpoints[Math.floor(Math.random() * endpoints.length)];
    if (endpoint === undefined) {
        throw new CallerError({
            status: 503,
            code: "no_endpoint",
            message: "No endpoint serves the model now.",
            retryAfterSeconds: 1,
        });
    }
    return endpoint;
}

function buildGenerateRequest(requestId: RequestId, prompt: PromptRequest): GenerateRequest {
    return {
        request_id: requestId,
        attempt_id: createAttemptId(),
        model: prompt.model,
        prompt: prompt.prompt,
        prompt_tokens: prompt.promptTokens,
        max_tokens: prompt.maxTokens,
        priority: 0,
        resume_from: 0,
        members: [],
        prefix_hashes: [],
    };
}

function writeEvent(response: ServerResponse, event: unknown): void {
    if (!response.headersSent) {
        response.writeHead(200, { "content-type": "text/event-stream", "x-outcome": "answered" });
    }
    response.write(`data: ${JSON.stringify(event)}\n\n`);
}

const objectNames = { chat: "chat.completion", text: "text_completion" } as const;

function buildChunk(kind: CompletionKind, requestId: RequestId, prompt: PromptRequest, text: string): unknown {
    const choice = kind === "chat" ? { index: 0, delta: { content: text } } : { index: 0, text };
    return { id: requestId, object: `${objectNames[kind]}.chunk`, model: prompt.model, choices: [choice] };
}

function buildAnswer(
    kind: CompletionKind,
    requestId: RequestId,
    prompt: PromptRequest,
    texts: readonly string[],
): unknown {
    const text = texts.join("");
    const content = kind === "chat" ? { message: { role: "assistant", content: text } } : { text };
    return {
        id: requestId,
        object: objectNames[kind],
        model: prompt.model,
        choices: [{ index: 0, ...content, finish_reason: "length" }],
        usage: {
            prompt_tokens: prompt.promptTokens,
            completion_tokens: texts.length,
            total_tokens: prompt.promptTokens + texts.length,
        },
    };
}
