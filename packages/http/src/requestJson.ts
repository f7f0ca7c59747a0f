/** JSON requests over undici, with a time limit on the whole exchange. */
import { type Dispatcher, request } from "undici";

export interface RequestJsonOptions {
    readonly method?: "GET" | "PUT" | "POST" | "DELETE";
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    readonly timeoutMs?: number;
    readonly dispatcher?: Dispatcher;
}

const defaultOptions = { method: "GET", headers: {}, timeoutMs: 2_000 } satisfies RequestJsonOptions;

export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed body, or `undefined` if it is not JSON. */
    readonly body: unknown;
}

/** Sends a request and reads its JSON answer. Rejects if no whole answer arrives in time. */
export async function requestJson(url: string, options: RequestJsonOptions = {}): Promise<JsonResponse> {
    const settings = { ...defaultOptions, ...options };
    const response = await request(url, {
        method: settings.method,
        headers: { "content-type": "application/json", ...settings.headers },
        body: settings.body === undefined ? null : JSON.stringify(settings.body),
        signal: AbortSignal.timeout(settings.timeoutMs),
        ...(settings.dispatcher === undefined ? {} : { dispatcher: settings.dispatcher }),
    });
    const text = await response.body.text();
    return { status: response.statusCode, headers: response.headers, body: parseJson(text) };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
