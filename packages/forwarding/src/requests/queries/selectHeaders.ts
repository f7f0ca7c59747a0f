/** Headers that are passed on between callers and endpoints. */
import { connectionHeaders, listConnectionNames } from "@currantrill/http";

/** Passed on as the caller sent it. */
const HOST = "host";

/** Selects what an endpoint receives of a caller's headers. Names and values in turn. */
export function selectRequestHeaders(rawHeaders: readonly string[], ownHeaders: ReadonlySet<string>): string[] {
    const named = listNamedByConnection(rawHeaders);
    return selectWhere(
        rawHeaders,
        name => (!connectionHeaders.has(name) || name === HOST) && !named.has(name) && !ownHeaders.has(name),
    );
}

/** Selects what a caller receives of an endpoint's headers. */
export function selectAnswerHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
    const named = listConnectionNames(String(headers["connection"] ?? ""));
    return Object.fromEntries(
        Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
            entry[1] !== undefined && !connectionHeaders.has(entry[0]) && !named.has(entry[0])
        ),
    );
}

function listNamedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            listConnectionNames(rawHeaders[index + 1] ?? "").forEach(name => names.add(name));
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
