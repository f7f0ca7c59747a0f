/** Keep-alive connections to one origin that can be replaced as a whole. */
import { type Dispatcher, Pool } from "undici";

const CONNECT_TIMEOUT_MS = 1_000;
/** Below the 5 s after which Node.js servers close an idle connection, so that a request rarely meets a closing one. */
const KEEP_ALIVE_MS = 4_000;

export interface Connections {
    readonly origin: string;
    getDispatcher(): Dispatcher;
    /**
     * Takes new connections from now on. After one connection went silent, the idle ones opened at the same time are
     * likely to be silent as well. Requests on old connections continue.
     */
    renew(): void;
    /** Resolves when the requests in flight have ended. */
    close(): Promise<void>;
}

/** Creates connections to an origin such as `http://10.0.0.1:8000`. They have no limit on time except to connect. */
export function createConnections(origin: string): Connections {
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

const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Whether a request failed before a connection existed, so that no byte of it was sent. */
export function isNotConnected(error: unknown): boolean {
    return NOT_CONNECTED_CODES.has((error as { code?: string; } | undefined)?.code ?? "");
}
