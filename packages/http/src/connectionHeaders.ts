/** Headers, in lower case, that concern one connection and are not passed on, and those that an HTTP client sets itself. */
export const connectionHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Lists the headers that a `Connection` header names, in lower case. */
export const listConnectionNames = (connection: string): ReadonlySet<string> =>
    new Set(connection.toLowerCase().split(",").map(name => name.trim()));
