/** Headers that are passed on between callers and endpoints. */

/** Headers of one connection, and those that the HTTP client sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
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

/** Selects what an endpoint receives of a caller's headers. Names and values in turn. */
export function selectRequestHeaders(rawHeaders: readonly string[], ownHeaders: ReadonlySet<string>): string[] {
    const named = listNamedByConnection(rawHeaders);
    return selectWhere(
        rawHeaders,
        name => !CONNECTION_HEADERS.has(name) && !named.has(name) && !ownHeaders.has(name),
    );
}

/** Selects what a caller receives of an endpoint's headers. */
export function selectAnswerHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const named = new Set(splitList(String(headers["connection"] ?? "")));
    return Object.fromEntries(
        Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
            entry[1] !== undefined && !CONNECTION_HEADERS.has(entry[0]) && !named.has(entry[0])
        ),
    );
}

const splitList = (text: string): string[] => text.toLowerCase().split(",").map(name => name.trim());

function listNamedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            splitList(rawHeaders[index + 1] ?? "").forEach(name => names.add(name));
        }
    }
    return names;
}

function selectWhere(rawHeaders: readonly string[], accepts: (name: string) => boolean): string[] {
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        if (accepts(name.toLowerCase())) {
            kept.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return kept;
}
