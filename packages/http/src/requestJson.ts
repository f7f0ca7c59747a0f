import { type Dispatcher, request } from "undici";

/** Options of `requestJson`. The method defaults to GET. */
export interface RequestJsonOptions {
    readonly method?: "GET" | "PUT" | "POST" | "DELETE";
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Limit on the whole exchange, from the start of the request to the end of the response body. Defaults to 2 s. */
    readonly timeoutMs?: number;
    /** Connection pool to use in place of undici's global one. */
    readonly dispatcher?: Dispatcher;
}

const defaultOptions = { method: "GET", headers: {}, timeoutMs: 2_000 } satisfies RequestJsonOptions;

/** Response of any status. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed body; `undefined` if it is not valid JSON. */
    readonly body: unknown;
}

/**
 * Sends a request with a JSON body over undici and parses the response. Rejects if the connection fails or the response
 * is incomplete when the time limit expires; does not reject on an error status.
 */
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
