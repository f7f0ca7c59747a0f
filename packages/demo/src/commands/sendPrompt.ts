/** Sends prompts as a caller does, and checks that the answer is complete. */
import { readServerSentEvents } from "@currantrill/http";
import { callerHeaders, STREAM_TERMINATOR } from "@currantrill/protocol";
import { formatToken } from "@currantrill/standins";
import { request } from "undici";
import { DEMO_MODEL } from "../model/systemOptions.js";

export interface PromptOptions {
    /** URL of the listener for callers of a host. */
    readonly url: string;
    readonly workspaceKey: string;
    readonly promptTokens: number;
    readonly maxTokens?: number;
    readonly stream?: boolean;
    readonly priority?: "interactive" | "standard" | "batch";
    /** Timeout that the request states to the host. */
    readonly timeoutMs?: number;
    /** Called when the first event of a streamed answer arrives. */
    readonly onFirstToken?: () => void;
}

const defaultOptions = {
    maxTokens: 8,
    stream: false,
    priority: "interactive",
    timeoutMs: 30_000,
    onFirstToken: () => undefined,
} satisfies Partial<PromptOptions>;

/** Additional time after the request's timeout until the caller aborts the request. */
const CALLER_TIMEOUT_MARGIN_MS = 5_000;

/** Response to a prompt, compared with the expected answer. */
export interface PromptResult {
    readonly status: number;
    readonly requestId: string;
    /** Value of the outcome header; empty if there is none. */
    readonly outcome: string;
    /** Whether the answer has exactly the expected tokens in order, and the terminator if it is streamed. */
    readonly isComplete: boolean;
    /** Body of an error response, or the first difference from the expected answer; empty if the answer is complete. */
    readonly detail: string;
}

/** Sends a prompt to a host. Rejects if the connection is lost, or if the answer has not ended in time. */
export async function sendPrompt(options: PromptOptions): Promise<PromptResult> {
    const settings = { ...defaultOptions, ...options };
    const response = await request(`${settings.url}/v1/completions`, {
        method: "POST",
        headers: {
            [callerHeaders.authorization]: `Bearer ${settings.workspaceKey}`,
            [callerHeaders.priority]: settings.priority,
            [callerHeaders.timeout]: String(settings.timeoutMs),
            "content-type": "application/json",
        },
        body: JSON.stringify({
            model: DEMO_MODEL,
            prompt: "",
            prompt_tokens: settings.promptTokens,
            max_tokens: settings.maxTokens,
            stream: settings.stream,
        }),
        signal: AbortSignal.timeout(settings.timeoutMs + CALLER_TIMEOUT_MARGIN_MS),
    });
    const requestId = String(response.headers[callerHeaders.requestId] ?? "");
    const outcome = String(response.headers[callerHeaders.outcome] ?? "");
    const expected = Array.from({ length: settings.maxTokens }, (_unused, index) => formatToken(requestId, index));
    if (response.statusCode !== 200) {
        return {
            status: response.statusCode,
            requestId,
            outcome,
            isComplete: false,
            detail: await response.body.text(),
        };
    }
    const detail = settings.stream
        ? await compareEvents(response.body, expected, settings.onFirstToken)
        : compareText(await response.body.json(), expected);
    return { status: 200, requestId, outcome, isComplete: detail === "", detail };
}

/** Reads a streamed answer. Resolves to the first difference from the expected tokens, or to an empty string. */
async function compareEvents(
    body: AsyncIterable<Uint8Array>,
    expected: readonly string[],
    onFirstToken: () => void,
): Promise<string> {
    const events: string[] = [];
    for await (const event of readServerSentEvents(body)) {
        if (events.length === 0) {
            onFirstToken();
        }
        events.push(event);
    }
    if (events.pop() !== STREAM_TERMINATOR) {
        return `no terminator after ${events.length} events`;
    }
    return compareTexts(events.map(readText), expected);
}

const compareText = (body: unknown, expected: readonly string[]): string =>
    compareTexts([readText(JSON.stringify(body))], [expected.join("")]);

function readText(event: string): string {
    const body = JSON.parse(event) as { choices?: { text?: string; }[]; };
    return body.choices?.[0]?.text ?? event;
}

function compareTexts(texts: readonly string[], expected: readonly string[]): string {
    const mismatchIndex = expected.findIndex((text, index) => texts[index] !== text);
    if (mismatchIndex >= 0) {
        return `token ${mismatchIndex} is "${texts[mismatchIndex] ?? ""}" instead of "${
            expected[mismatchIndex] ?? ""
        }"`;
    }
    return texts.length === expected.length ? "" : `${texts.length} tokens instead of ${expected.length}`;
}
