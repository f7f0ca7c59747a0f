/** HTTP server on polka: routes with parsed JSON bodies. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import polka from "polka";
import { readRawBody } from "./readRawBody.js";

export type HttpMethod = "GET" | "PUT" | "POST" | "DELETE";

/** A request after routing. */
export interface HttpRequest extends IncomingMessage {
    readonly path: string;
    readonly params: Readonly<Record<string, string>>;
    /** Query string with its `?`, or empty. */
    readonly search: string;
    /** Parsed JSON body, or the raw bytes where the route asks for them. */
    readonly body: unknown;
}

export type HttpHandler = (request: HttpRequest, response: ServerResponse) => void | Promise<void>;
export type HttpMiddleware = (request: HttpRequest, response: ServerResponse, next: (error?: Error) => void) => void;

export interface Route {
    /** `ALL` matches every method. */
    readonly method: HttpMethod | "ALL";
    /** Path pattern with `:name` parameters; a final `*` matches the rest. */
    readonly path: string;
    readonly handle: HttpHandler;
}

export interface ServeHttpOptions {
    readonly host: string;
    /** 0 takes a free port. */
    readonly port: number;
    readonly routes: readonly Route[];
    readonly middleware?: readonly HttpMiddleware[];
    /** A function is asked for each request. */
    readonly bodyLimitBytes?: number | (() => number);
    readonly maxHeaderBytes?: number;
    /** Longest time for a whole request to arrive, in milliseconds. */
    readonly requestTimeoutMs?: number;
    /** `json` parses each body as JSON; `raw` keeps the bytes as they arrived, also of a compressed body. */
    readonly bodies?: "json" | "raw";
    /** Called for a body that could not be read, and for a handler that threw. */
    readonly handleError?: (error: HttpError, request: IncomingMessage, response: ServerResponse) => void;
    /** Called for a path without a route. */
    readonly handleNoRoute?: (request: IncomingMessage, response: ServerResponse) => void;
    /** Builds the JSON answer to bytes that are not an acceptable HTTP request. */
    readonly describeBadRequest?: (status: BadRequestStatus) => BadRequestAnswer;
}

/** 400 not HTTP, 408 not received in time, 431 headers too large. */
export type BadRequestStatus = 400 | 408 | 431;

export interface BadRequestAnswer {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: unknown;
}

/** Error with the HTTP status that fits it. */
export interface HttpError extends Error {
    readonly status?: number;
    /** Reason as the body parser names it, such as `entity.too.large`. */
    readonly type?: string;
}

const badRequestReasons: Record<BadRequestStatus, string> = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
};

const defaultOptions = {
    middleware: [],
    bodyLimitBytes: 16 * 1024 * 1024,
    maxHeaderBytes: 16 * 1024,
    requestTimeoutMs: 60_000,
    bodies: "json",
    handleError: (error: HttpError, _request: IncomingMessage, response: ServerResponse): void =>
        sendJson(response, error.status ?? 500, { error: error.message }),
    handleNoRoute: (_request: IncomingMessage, response: ServerResponse): void =>
        sendJson(response, 404, { error: "no such path" }),
    describeBadRequest: (status: BadRequestStatus): BadRequestAnswer => ({
        headers: {},
        body: { error: badRequestReasons[status] },
    }),
} satisfies Partial<ServeHttpOptions>;

export interface RunningServer {
    readonly server: Server;
    readonly port: number;
    /** Stops accepting connections, and resolves when the open requests have ended. */
    readonly drain: () => Promise<void>;
    /** Closes at once, also connections with open requests. */
    readonly close: () => Promise<void>;
}

/** Ends a response with a JSON body. */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(body));
}

/** Starts a server. Rejects if the address cannot be bound. */
export async function serveHttp(options: ServeHttpOptions): Promise<RunningServer> {
    const settings = { ...defaultOptions, ...options };
    const server = createServer({
        maxHeaderSize: settings.maxHeaderBytes,
        requestTimeout: settings.requestTimeoutMs,
        headersTimeout: settings.requestTimeoutMs,
    });
    server.on("clientError", (error, socket) => sendBadRequest(error, socket, settings.describeBadRequest));
    // The types of polka describe Express requests, so the application is used through this narrower view.
    const app = polka({ server, onError: reportError, onNoMatch: settings.handleNoRoute }) as unknown as PolkaView;
    function reportError(error: unknown, request: IncomingMessage, response: ServerResponse): void {
        settings.handleError(error as HttpError, request, response);
    }
    const parseBody = settings.bodies === "json"
        ? await createJsonParser(readLimit(settings.bodyLimitBytes))
        : createRawParser(settings.bodyLimitBytes);
    app.use(parseBody, ...settings.middleware);
    for (const route of settings.routes) {
        addRoute(app, route, reportError);
    }
    await startListening(app, server, settings);
    return {
        server,
        port: (server.address() as AddressInfo).port,
        drain: () => drainServer(server),
        close: () => closeServer(server),
    };
}

const readLimit = (limit: number | (() => number)): number => typeof limit === "number" ? limit : limit();

/** The parser with its tables of encodings is loaded only where it is used, since it makes up much of a start. */
async function createJsonParser(limitBytes: number): Promise<HttpMiddleware> {
    const { default: bodyParser } = await import("body-parser");
    return bodyParser.json({ limit: limitBytes, strict: false, type: () => true }) as HttpMiddleware;
}

function createRawParser(limit: number | (() => number)): HttpMiddleware {
    return (request, _response, next) => {
        readRawBody(request, readLimit(limit)).then(
            bytes => {
                Object.assign(request, { body: bytes });
                next();
            },
            (error: unknown) => next(error as Error),
        );
    };
}

const badRequestStatuses: Readonly<Record<string, BadRequestStatus>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Answers bytes that the HTTP parser rejects; without it the connection would close without a reason. */
function sendBadRequest(
    error: Error & { code?: string; },
    socket: Duplex,
    describe: (status: BadRequestStatus) => BadRequestAnswer,
): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const status = badRequestStatuses[error.code ?? ""] ?? 400;
    const { headers, body } = describe(status);
    const text = JSON.stringify(body);
    const lines = [
        `HTTP/1.1 ${status} ${badRequestReasons[status]}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(text)}`,
        "connection: close",
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    socket.end(`${lines.join("\r\n")}\r\n\r\n${text}`);
}

const IDLE_CHECK_MS = 20;

interface PolkaView {
    use(...middleware: HttpMiddleware[]): void;
    add(method: string, path: string, handler: (request: HttpRequest, response: ServerResponse) => void): void;
    all(path: string, handler: (request: HttpRequest, response: ServerResponse) => void): void;
    listen(port: number, host: string, callback: () => void): void;
}

type ReportError = (error: unknown, request: IncomingMessage, response: ServerResponse) => void;

function addRoute(app: PolkaView, route: Route, reportError: ReportError): void {
    const handle = (request: HttpRequest, response: ServerResponse): void => {
        Promise.resolve()
            .then(() => route.handle(request, response))
            .catch((error: unknown) => reportError(error, request, response));
    };
    if (route.method === "ALL") {
        app.all(route.path, handle);
        return;
    }
    app.add(route.method, route.path, handle);
}

function startListening(app: PolkaView, server: Server, options: ServeHttpOptions): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        app.listen(options.port, options.host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

function drainServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        // A connection becomes idle when its last response has ended, which is later than the start of the drain.
        const timer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_MS);
        server.close(() => {
            clearInterval(timer);
            resolve();
        });
    });
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
