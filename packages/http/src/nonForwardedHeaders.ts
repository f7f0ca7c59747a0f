/**
 * Lower-case names of headers that a proxy does not forward: hop-by-hop headers, and those that the HTTP client sets
 * for its own request, such as `host` and `content-length`.
 */
export const nonForwardedHeaders: ReadonlySet<string> = new Set([
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

/** Lists the header names in the value of a `Connection` header, in lower case. They are hop-by-hop headers as well. */
export const listConnectionHeaderNames = (connection: string): ReadonlySet<string> =>
    new Set(connection.toLowerCase().split(",").map(name => name.trim()));
