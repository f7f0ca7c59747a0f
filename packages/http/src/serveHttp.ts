/** HTTP server on polka: routes with parsed JSON bodies. */
import bodyParser from "body-parser";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";

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
    readonly bodyLimitBytes?: number;
    readonly maxHeaderBytes?: number;
    /** `json` parses each body as JSON; `raw` keeps the bytes. */
    readonly bodies?: "json" | "raw";
    /** Called for a body that could not be read, and for a handler that threw. */
    readonly handleError?: (error: HttpError, request: IncomingMessage, response: ServerResponse) => void;
}

/** Error with the HTTP status that fits it. */
export interface HttpError extends Error {
    readonly status?: number;
    /** Reason as the body parser names it, such as `entity.too.large`. */
    readonly type?: string;
}

const defaultOptions = {
    middleware: [],
    bodyLimitBytes: 16 * 1024 * 1024,
    maxHeaderBytes: 16 * 1024,
    bodies: "json",
    handleError: (error: HttpError, _request: IncomingMessage, response: ServerResponse): void =>
        sendJson(response, error.status ?? 500, { error: error.message }),
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
    const server = createServer({ maxHeaderSize: settings.maxHeaderBytes });
    // The types of polka describe Express requests, so the application is used through this narrower view.
    const app = polka({ server, onError: reportError }) as unknown as PolkaView;
    function reportError(error: unknown, request: IncomingMessage, response: ServerResponse): void {
        settings.handleError(error as HttpError, request, response);
    }
    const parseBody = settings.bodies === "json"
        ? bodyParser.json({ limit: settings.bodyLimitBytes, strict: false, type: () => true })
        : bodyParser.raw({ limit: settings.bodyLimitBytes, type: () => true });
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
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}

function closeServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
    });
}
