/** HTTP server based on polka, with parsed JSON or raw request bodies. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";
import polka from "polka";
import { awaitReads } from "./awaitReads.js";
import type { ByteBudget } from "./byteBudget.js";
import { closeConnection } from "./closeConnection.js";
import { createRequestQueues } from "./createRequestQueues.js";
import { handleClientErrors } from "./handleClientErrors.js";
import { type ConnectionLimit, type ConnectionLimitEvent, limitConnections } from "./limitConnections.js";
import { receiveRequests, type RequestBodies } from "./receiveRequests.js";
import { createResourceBudget, type ResourceBudget, type ResourceKind } from "./resourceBudget.js";
import { trackConnections } from "./trackConnections.js";
import type { UnansweredRequest } from "./unansweredRequest.js";

export type HttpMethod = "GET" | "PUT" | "POST" | "DELETE";

/** A request that has been matched to a route and whose body has been read. */
export interface HttpRequest extends IncomingMessage {
    readonly path: string;
    readonly params: Readonly<Record<string, string>>;
    /** Query string with the leading `?`; empty if there is none. */
    readonly search: string;
    /** When the head was received, on the monotonic clock. */
    readonly receivedAtMs: number;
    /** Returns whether a further request of the connection waits, which `connection: close` would leave without a response. */
    readonly isFollowed: () => boolean;
    /** Returns the budget that pays for what the host holds for the connection. */
    readonly pay: (kind: ResourceKind) => ByteBudget;
    /** Parsed JSON value, or a `Buffer` if the server was started with `bodies: "raw"`. */
    readonly body: unknown;
}

/** Handles a routed request. An error that it throws or rejects with is passed to `handleError`. */
export type HttpHandler = (request: HttpRequest, response: ServerResponse) => void | Promise<void>;
/** Runs before the route's handler. An error given to `next` is passed to `handleError`. */
export type HttpMiddleware = (request: HttpRequest, response: ServerResponse, next: (error?: Error) => void) => void;

/** Binds a method and a path pattern to a handler. */
export interface Route {
    /** `ALL` matches every method. */
    readonly method: HttpMethod | "ALL";
    /** Path pattern with `:name` parameters; a trailing `*` matches the remaining segments. */
    readonly path: string;
    readonly handle: HttpHandler;
}

export interface ServeHttpOptions {
    /** Address to listen on. */
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
    readonly routes: readonly Route[];
    /** Runs in this order, after the body has been read. */
    readonly middleware?: readonly HttpMiddleware[];
    /** A function is evaluated for each request with `raw` bodies, and once at the start with `json` bodies. */
    readonly bodyLimitBytes?: number | (() => number);
    /**
     * Pays for everything that clients make the server hold. Several servers can share one. A request whose `raw` body
     * exceeds it gets an error with status 503 and type `body.budget`; without room for anything else, connections are
     * closed. By default, the server has one of its own with `DEFAULT_BUDGET_BYTES`.
     */
    readonly budget?: ResourceBudget;
    readonly maxHeaderBytes?: number;
    /**
     * Most connections, without limit by default. If all have requests in flight, a request on a further one gets an error
     * with status 503 and type `connection.limit`, and its connection is closed.
     */
    readonly maxConnections?: number;
    /** Called for each connection beyond `maxConnections`. */
    readonly onConnectionLimit?: (event: ConnectionLimitEvent) => void;
    /** Returns the time on a monotonic clock, in milliseconds, for the limit on connections. */
    readonly getNowMs?: () => number;
    /** Time limit for receiving a complete request, in milliseconds. */
    readonly requestTimeoutMs?: number;
    /** `json` parses each body as JSON. `raw` keeps the bytes as received and does not decompress them. */
    readonly bodies?: "json" | "raw";
    /** Called if a body cannot be read or a handler throws. */
    readonly handleError?: (error: HttpError, request: IncomingMessage, response: ServerResponse) => void;
    /** Takes over the connection of a CONNECT request, which is closed by default. */
    readonly handleTunnel?: (request: IncomingMessage, socket: Socket) => void;
    /** Called if no route matches. */
    readonly handleNotFound?: (request: IncomingMessage, response: ServerResponse) => void;
    /** Called if the server cannot accept a connection, such as without free file descriptors. It goes on listening. */
    readonly onServerError?: (error: Error) => void;
    /** Called for each request whose connection closes before its response has been sent in full. */
    readonly onUnanswered?: (unanswered: UnansweredRequest) => void;
    /** Builds the JSON response to bytes that the HTTP parser rejects. */
    readonly describeBadRequest?: (status: BadRequestStatus) => BadRequestResponse;
}

/** 400: not valid HTTP; 408: not received within `requestTimeoutMs`; 431: headers larger than `maxHeaderBytes`. */
export type BadRequestStatus = 400 | 408 | 431;

/** Response to a request that the HTTP parser rejects. */
export interface BadRequestResponse {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: unknown;
}

/** Error with the HTTP status to respond with. */
export interface HttpError extends Error {
    readonly status?: number;
    /** Error type as `body-parser` defines it, such as `entity.too.large`. */
    readonly type?: string;
}

/** 16,384 requests with a head of 29 bytes fit into it, beside a heap of 200 MB. */
const DEFAULT_BUDGET_BYTES = 72 * 1024 * 1024;

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
    handleNotFound: (_request: IncomingMessage, response: ServerResponse): void =>
        sendJson(response, 404, { error: "no such path" }),
    maxConnections: Infinity,
    onConnectionLimit: (): void => undefined,
    getNowMs: (): number => performance.now(),
    onServerError: (): void => undefined,
    onUnanswered: (): void => undefined,
    describeBadRequest: (status: BadRequestStatus): BadRequestResponse => ({
        headers: {},
        body: { error: badRequestReasons[status] },
    }),
} satisfies Partial<ServeHttpOptions>;

export interface RunningServer {
    readonly server: Server;
    readonly port: number;
    /** Returns the number of requests of which bytes have been received and whose response has not been sent in full. */
    readonly countPending: () => number;
    /** Stops accepting connections. Resolves when the requests in flight have ended. */
    readonly drain: () => Promise<void>;
    /**
     * Ends the requests whose `raw` bodies are incomplete with an error with status 503 and type `server.stop`, which
     * `handleError` gets when it is their turn.
     */
    readonly failIncomplete: () => void;
    /** Closes the server at once, including connections with requests in flight. */
    readonly close: () => Promise<void>;
}

/** Sends a JSON body and ends the response. */
export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(body));
}

/** Starts a server with the given routes. Rejects if the address cannot be bound. */
export async function serveHttp(options: ServeHttpOptions): Promise<RunningServer> {
    const settings = { ...defaultOptions, ...options };
    const server = createServer({
        maxHeaderSize: settings.maxHeaderBytes,
        requestTimeout: settings.requestTimeoutMs,
        headersTimeout: settings.requestTimeoutMs,
    });
    const queues = createRequestQueues();
    const budget = options.budget ?? createResourceBudget({ getLimit: () => DEFAULT_BUDGET_BYTES });
    const { bodies, failIncomplete } = receiveRequests({
        server,
        queues,
        getAccount: socket => tracker.getAccount(socket),
        isRaw: settings.bodies === "raw",
        getBodyLimit: () => getBodyLimit(settings.bodyLimitBytes),
        begin: (request, response) => app.handler(request, response),
        onUnanswered: settings.onUnanswered,
    });
    handleClientErrors(server, {
        queues,
        requestTimeoutMs: settings.requestTimeoutMs,
        fail: (error, socket) => sendBadRequest(error, socket, settings.describeBadRequest),
    });
    const connectionLimit = limitConnections({
        server,
        maxConnections: settings.maxConnections,
        onLimit: settings.onConnectionLimit,
        getNowMs: settings.getNowMs,
    });
    if (settings.handleTunnel !== undefined) {
        serveTunnels(server, connectionLimit, settings.handleTunnel);
    }
    const tracker = trackConnections({ server, budget, queues, getMaxHeadBytes: () => settings.maxHeaderBytes });
    // Without a listener, Node.js closes these connections at once.
    server.on("timeout", (socket: Socket) => void closeIfUnread(socket));
    // The method of Node.js, which `server.close` calls, also closes connections whose last response is still being sent.
    server.closeIdleConnections = () => void connectionLimit.closeKept();
    // polka's types describe Express requests, so the application is cast to the narrower `PolkaApp`.
    const app = polka({ onError: reportError, onNoMatch: settings.handleNotFound }) as unknown as PolkaApp;
    function reportError(error: unknown, request: IncomingMessage, response: ServerResponse): void {
        settings.handleError(error as HttpError, request, response);
    }
    const parseBody = settings.bodies === "json"
        ? await createJsonParser(getBodyLimit(settings.bodyLimitBytes))
        : createRawParser(bodies);
    app.use(parseBody, createExcessRefusal(connectionLimit), ...settings.middleware);
    for (const route of settings.routes) {
        addRoute(app, route, reportError);
    }
    await startListening(server, settings);
    // Without a listener, a failure to accept a connection would be an uncaught exception.
    server.on("error", settings.onServerError);
    return {
        server,
        port: (server.address() as AddressInfo).port,
        countPending: () => queues.countPending() + connectionLimit.countArriving(),
        drain: () => drainServer(server),
        failIncomplete,
        close: () => closeServer(server, connectionLimit.closeAll),
    };
}

function serveTunnels(
    server: Server,
    { isExcess, hold }: ConnectionLimit,
    handle: Required<ServeHttpOptions>["handleTunnel"],
): void {
    server.on("connect", (request, socket: Socket) => {
        if (isExcess(request)) {
            closeConnection(socket, "connection_limit");
            return;
        }
        hold(socket);
        // The listener that passes the bytes on to the HTTP parser.
        socket.removeAllListeners("data");
        handle(request, socket);
    });
}

const getBodyLimit = (limit: number | (() => number)): number => typeof limit === "number" ? limit : limit();

/** Loads `body-parser` on demand: loading it with its encoding tables takes a large fraction of the start-up time. */
async function createJsonParser(limitBytes: number): Promise<HttpMiddleware> {
    const { default: bodyParser } = await import("body-parser");
    return bodyParser.json({ limit: limitBytes, strict: false, type: () => true }) as HttpMiddleware;
}

function createRawParser(bodies: RequestBodies): HttpMiddleware {
    return (request, response, next) => {
        bodies.get(request)?.done.then(
            ({ bytes, release }) => {
                if (response.closed) {
                    release();
                }
                response.once("close", release);
                Object.assign(request, { body: bytes });
                next();
            },
            (error: unknown) => next(error as Error),
        );
    };
}

/** Runs after the body has been read, since closing a connection with unread bytes may destroy the response. */
const createExcessRefusal = ({ isExcess }: ConnectionLimit): HttpMiddleware => (request, response, next) => {
    if (!isExcess(request)) {
        next();
        return;
    }
    response.setHeader("connection", "close");
    next(Object.assign(new Error("too many connections"), { status: 503, type: "connection.limit" }));
};

const badRequestStatuses: Readonly<Record<string, BadRequestStatus>> = {
    HPE_HEADER_OVERFLOW: 431,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Responds to bytes that the HTTP parser rejects. Without a response the client would not learn why the connection
 * closes.
 */
function sendBadRequest(
    error: Error & { code?: string; },
    socket: Duplex,
    describe: (status: BadRequestStatus) => BadRequestResponse,
): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        closeConnection(socket, error.code === "ECONNRESET" ? "client" : "bad_request");
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

/** Interval at which idle connections are closed during a drain. */
const IDLE_CONNECTION_SWEEP_MS = 20;

/** The methods of a polka application that this module uses. */
interface PolkaApp {
    use(...middleware: HttpMiddleware[]): void;
    add(method: string, path: string, handler: (request: HttpRequest, response: ServerResponse) => void): void;
    all(path: string, handler: (request: HttpRequest, response: ServerResponse) => void): void;
    handler(request: IncomingMessage, response: ServerResponse): void;
}

type ReportError = (error: unknown, request: IncomingMessage, response: ServerResponse) => void;

function addRoute(app: PolkaApp, route: Route, reportError: ReportError): void {
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

function startListening(server: Server, options: ServeHttpOptions): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

/** Closes a connection at the end of its keep-alive timeout, unless a request has arrived meanwhile. */
async function closeIfUnread(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    await awaitReads();
    if (socket.bytesRead === bytesRead) {
        closeConnection(socket, "idle");
    }
}

function drainServer(server: Server): Promise<void> {
    return new Promise(resolve => {
        // Connections become idle only when their last response has ended, which may be after the drain starts, so idle
        // connections are closed repeatedly.
        const timer = setInterval(() => server.closeIdleConnections(), IDLE_CONNECTION_SWEEP_MS);
        server.close(() => {
            clearInterval(timer);
            resolve();
        });
    });
}

function closeServer(server: Server, closeAll: () => void): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        closeAll();
    });
}
