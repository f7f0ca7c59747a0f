/** Selects the end-to-end headers that are forwarded between callers and endpoints. */
import { listConnectionHeaderNames, nonForwardedHeaders } from "@currantrill/http";

/** A connection-level header that is nevertheless forwarded unchanged. */
const HOST = "host";

/**
 * Selects the caller's headers that are forwarded to an endpoint: all but connection-level headers and those that only
 * the host sets (`hostHeaders`, in lower case). Names and values alternate, as in `rawHeaders` of Node.js.
 */
export function selectRequestHeaders(rawHeaders: readonly string[], hostHeaders: ReadonlySet<string>): string[] {
    const connectionTokens = listConnectionTokens(rawHeaders);
    return selectHeaders(
        rawHeaders,
        name =>
            (!nonForwardedHeaders.has(name) || name === HOST) && !connectionTokens.has(name) && !hostHeaders.has(name),
    );
}

/** Selects the endpoint's response headers that are forwarded to the caller. */
export function selectResponseHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const named = listConnectionHeaderNames(String(headers["connection"] ?? ""));
    return Object.fromEntries(
        Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
            entry[1] !== undefined && !nonForwardedHeaders.has(entry[0]) && !named.has(entry[0])
        ),
    );
}

function listConnectionTokens(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            listConnectionHeaderNames(rawHeaders[index + 1] ?? "").forEach(name => names.add(name));
        }
    }
    return names;
}

function selectHeaders(rawHeaders: readonly string[], shouldKeep: (name: string) => boolean): string[] {
    const selected: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        if (shouldKeep(name.toLowerCase())) {
            selected.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return selected;
}
