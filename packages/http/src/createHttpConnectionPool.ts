/** Keep-alive connection pool to one origin that can be replaced as a whole. */
import { type Dispatcher, Pool } from "undici";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Node.js servers close idle connections after 5 s. The client closes them earlier, so that a request is rarely sent on
 * a connection that the server is closing.
 */
const KEEP_ALIVE_MS = 4_000;

export interface HttpConnectionPool {
    readonly origin: string;
    /** Returns the dispatcher of the current pool. Fetch it for each request, since `renew` replaces it. */
    getDispatcher(): Dispatcher;
    /**
     * Opens new connections for subsequent requests. If one connection stops responding, idle connections that were
     * opened at the same time are likely to be unresponsive as well. Requests on the old connections continue.
     */
    renew(): void;
    /** Closes the current pool. Resolves when its requests in flight have ended. */
    close(): Promise<void>;
}

/**
 * Creates a connection pool to an origin such as `http://10.0.0.1:8000`. It limits only the time to connect; time
 * limits on responses are left to the caller.
 */
export function createHttpConnectionPool(origin: string): HttpConnectionPool {
    let pool = createPool(origin);
    let closed: Promise<void> | undefined;
    return {
        origin,
        getDispatcher: () => pool,
        renew: () => {
            if (closed === undefined) {
                void pool.close();
                pool = createPool(origin);
            }
        },
        close: () => closed ??= pool.close(),
    };
}

const createPool = (origin: string): Pool =>
    new Pool(origin, {
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
    });

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether a request failed before a connection was established, so that no byte of it was sent. */
export function isConnectError(error: unknown): boolean {
    return CONNECT_ERROR_CODES.has((error as { code?: string; } | undefined)?.code ?? "");
}
