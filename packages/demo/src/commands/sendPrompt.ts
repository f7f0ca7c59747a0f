/** Sends prompts as a caller does, and checks that the answer is whole. */
import { readEvents } from "@currantrill/http";
import { callerHeaders, STREAM_TERMINATOR } from "@currantrill/protocol";
import { formatToken } from "@currantrill/standins";
import { request } from "undici";
import { DEMO_MODEL } from "../model/systemOptions.js";

export interface PromptOptions {
    /** URL of a host's callers' listener. */
    readonly url: string;
    readonly workspaceKey: string;
    readonly promptTokens: number;
    readonly maxTokens?: number;
    readonly stream?: boolean;
    readonly priority?: "interactive" | "standard" | "batch";
    readonly timeoutMs?: number;
    /** Called when the first token has arrived. */
    readonly onFirstToken?: () => void;
}

const defaultOptions = {
    maxTokens: 8,
    stream: false,
    priority: "interactive",
    timeoutMs: 30_000,
    onFirstToken: () => undefined,
} satisfies Partial<PromptOptions>;

/** Time beyond the request's own timeout after which the caller gives up. */
const CALLER_MARGIN_MS = 5_000;

export interface PromptResult {
    readonly status: number;
    readonly requestId: string;
    readonly outcome: string;
    /** Whether the answer has all its tokens, in order, and its terminator. */
    readonly whole: boolean;
    /** Error body or event, or what is wrong with the answer. */
    readonly detail: string;
}

/** Sends a prompt to a host. Rejects if the connection breaks or no answer arrives in time. */
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
        signal: AbortSignal.timeout(settings.timeoutMs + CALLER_MARGIN_MS),
    });
    const requestId = String(response.headers[callerHeaders.requestId] ?? "");
    const outcome = String(response.headers[callerHeaders.outcome] ?? "");
    const expected = Array.from({ length: settings.maxTokens }, (_unused, index) => formatToken(requestId, index));
    if (response.statusCode !== 200) {
        return { status: response.statusCode, requestId, outcome, whole: false, detail: await response.body.text() };
    }
    const detail = settings.stream
        ? await checkEvents(response.body, expected, settings.onFirstToken)
        : checkText(await response.body.json(), expected);
    return { status: 200, requestId, outcome, whole: detail === "", detail };
}

async function checkEvents(
    body: AsyncIterable<Uint8Array>,
    expected: readonly string[],
    onFirstToken: () => void,
): Promise<string> {
    const events: string[] = [];
    for await (const event of readEvents(body)) {
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

const checkText = (body: unknown, expected: readonly string[]): string =>
    compareTexts([readText(JSON.stringify(body))], [expected.join("")]);

function readText(event: string): string {
    const body = JSON.parse(event) as { choices?: { text?: string; }[]; };
    return body.choices?.[0]?.text ?? event;
}

function compareTexts(texts: readonly string[], expected: readonly string[]): string {
    const wrong = expected.findIndex((text, index) => texts[index] !== text);
    if (wrong >= 0) {
        return `token ${wrong} is "${texts[wrong] ?? ""}" instead of "${expected[wrong] ?? ""}"`;
    }
    return texts.length === expected.length ? "" : `${texts.length} tokens instead of ${expected.length}`;
}
