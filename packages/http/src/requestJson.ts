import { gunzipSync } from "node:zlib";
import { type Dispatcher, request } from "undici";
import { createByteBuffer } from "./byteBuffer.js";

/** Options of `requestJson`. The method defaults to GET. */
export interface RequestJsonOptions {
    readonly method?: "GET" | "PUT" | "POST" | "DELETE";
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Limit on the whole exchange, from the start of the request to the end of the response body. Defaults to 2 s. */
    readonly timeoutMs?: number;
    /** Limit on the response body in bytes. Defaults to 32 MiB, several times the largest table of a store. */
    readonly maxBodyBytes?: number;
    /** Connection pool to use in place of undici's global one. */
    readonly dispatcher?: Dispatcher;
}

const defaultOptions = {
    method: "GET",
    headers: {},
    timeoutMs: 2_000,
    maxBodyBytes: 32 * 1024 * 1024,
} satisfies RequestJsonOptions;

/** Response of any status. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed body; `undefined` if it is not valid JSON. */
    readonly body: unknown;
}

/**
 * Sends a request with a JSON body over undici and parses the response. Rejects if the connection fails or the response
 * is incomplete when the time limit expires or exceeds the size limit; does not reject on an error status.
 */
export async function requestJson(url: string, options: RequestJsonOptions = {}): Promise<JsonResponse> {
    const settings = { ...defaultOptions, ...options };
    const signal = AbortSignal.timeout(settings.timeoutMs);
    return await Promise.race([fetchJson(url, settings, signal), rejectOnAbort(signal)]);
}

/** undici notices the signal only once the request has a connection, which takes up to 10 s to an unreachable address. */
const rejectOnAbort = (signal: AbortSignal): Promise<never> =>
    new Promise((_resolve, reject) => {
        signal.addEventListener("abort", () => reject(signal.reason as Error), { once: true });
    });

type RequestJsonSettings = RequestJsonOptions & Required<Pick<RequestJsonOptions, keyof typeof defaultOptions>>;

async function fetchJson(url: string, settings: RequestJsonSettings, signal: AbortSignal): Promise<JsonResponse> {
    const response = await request(url, {
        method: settings.method,
        headers: { "content-type": "application/json", ...settings.headers },
        body: settings.body === undefined ? null : JSON.stringify(settings.body),
        signal,
        ...(settings.dispatcher === undefined ? {} : { dispatcher: settings.dispatcher }),
    });
    const body = await readBody(response.body, settings.maxBodyBytes);
    const isCompressed = response.headers["content-encoding"] === "gzip";
    const text = (isCompressed ? gunzipSync(body, { maxOutputLength: settings.maxBodyBytes }) : body).toString("utf8");
    return { status: response.statusCode, headers: response.headers, body: parseJson(text) };
}

/** Reads a body. Rejects, and closes the connection, if it is longer than `maxBytes`. */
async function readBody(body: AsyncIterable<Buffer>, maxBytes: number): Promise<Buffer> {
    const buffer = createByteBuffer({ maxBytes });
    for await (const chunk of body) {
        if (!buffer.append(chunk)) {
            throw new Error(`the response body is longer than ${maxBytes} bytes`);
        }
    }
    return buffer.read();
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
