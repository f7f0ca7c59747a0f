/** Writes a completion to the caller, as a stream of server-sent events or as one JSON body. */
import { sendJson } from "@currantrill/http";
import { type RequestId, STREAM_TERMINATOR } from "@currantrill/protocol";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { formatChunk, formatCompletion } from "./completionFormats.js";
import type { PromptRequest } from "./promptRequest.js";

export interface CompletionWriter {
    /**
     * Writes the text of one token. Returns a promise if the response's buffer is full; it resolves when the buffer has
     * drained and rejects when the signal is aborted.
     */
    write(text: string): void | Promise<void>;
    /** Ends the response after the last token. */
    finish(): void;
}

/** Creates a streaming or a buffering writer, as the request's `stream` field says. */
export function createCompletionWriter(
    request: PromptRequest,
    requestId: RequestId,
    response: ServerResponse,
    signal: AbortSignal,
): CompletionWriter {
    return request.stream
        ? createStreamWriter(request, requestId, response, signal)
        : createBufferedWriter(request, requestId, response);
}

function createBufferedWriter(
    request: PromptRequest,
    requestId: RequestId,
    response: ServerResponse,
): CompletionWriter {
    const texts: string[] = [];
    return {
        write: text => void texts.push(text),
        finish: () => sendJson(response, 200, formatCompletion(request, requestId, texts), { "x-outcome": "answered" }),
    };
}

function createStreamWriter(
    request: PromptRequest,
    requestId: RequestId,
    response: ServerResponse,
    signal: AbortSignal,
): CompletionWriter {
    let count = 0;
    const formatEvent = (event: unknown): string => `data: ${JSON.stringify(event)}\n\n`;
    return {
        write: text => {
            if (count === 0) {
                response.writeHead(200, { "content-type": "text/event-stream", "x-outcome": "answered" });
            }
            count += 1;
            const finishReason = count === request.maxTokens ? "length" : null;
            const canAcceptMore = response.write(formatEvent(formatChunk(request, requestId, text, finishReason)));
            return canAcceptMore ? undefined : waitForDrain(response, signal);
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
