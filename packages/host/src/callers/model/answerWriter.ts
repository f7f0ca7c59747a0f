/** Writes the tokens of an answer to the caller, as they arrive or all at once. */
import { sendJson } from "@currantrill/http";
import { type RequestId, STREAM_TERMINATOR } from "@currantrill/protocol";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { formatAnswer, formatChunk } from "./completionFormats.js";
import type { PromptRequest } from "./promptRequest.js";

export interface AnswerWriter {
    /** Resolves when the caller can take more. Rejects when the signal is aborted. */
    write(text: string): void | Promise<void>;
    finish(): void;
}

/** Creates the writer that the request asks for. */
export function createAnswerWriter(
    request: PromptRequest,
    requestId: RequestId,
    response: ServerResponse,
    signal: AbortSignal,
): AnswerWriter {
    return request.stream
        ? createStreamWriter(request, requestId, response, signal)
        : createPlainWriter(request, requestId, response);
}

function createPlainWriter(request: PromptRequest, requestId: RequestId, response: ServerResponse): AnswerWriter {
    const texts: string[] = [];
    return {
        write: text => void texts.push(text),
        finish: () => sendJson(response, 200, formatAnswer(request, requestId, texts), { "x-outcome": "answered" }),
    };
}

function createStreamWriter(
    request: PromptRequest,
    requestId: RequestId,
    response: ServerResponse,
    signal: AbortSignal,
): AnswerWriter {
    let count = 0;
    const formatEvent = (event: unknown): string => `data: ${JSON.stringify(event)}\n\n`;
    return {
        write: text => {
            if (count === 0) {
                response.writeHead(200, { "content-type": "text/event-stream", "x-outcome": "answered" });
            }
            count += 1;
            const finishReason = count === request.maxTokens ? "length" : null;
            const flushed = response.write(formatEvent(formatChunk(request, requestId, text, finishReason)));
            return flushed ? undefined : waitForDrain(response, signal);
        },
        finish: () => {
            const end = count < request.maxTokens ? formatEvent(formatChunk(request, requestId, "", "stop")) : "";
            response.end(`${end}data: ${STREAM_TERMINATOR}\n\n`);
        },
    };
}

async function waitForDrain(response: ServerResponse, signal: AbortSignal): Promise<void> {
    await once(response, "drain", { signal });
}
