/** Selects the headers that are forwarded between callers and services. */
import { listConnectionHeaderNames, nonForwardedHeaders } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";
import type { IncomingHttpHeaders } from "node:http";

/** Not forwarded to services: the workspace key is meant only for the host, and the host sets or removes the others. */
const HOST_HEADERS: ReadonlySet<string> = new Set([
    callerHeaders.authorization,
    callerHeaders.timeout,
    callerHeaders.priority,
    callerHeaders.requestId,
    callerHeaders.outcome,
]);

type Headers = Record<string, string | string[]>;

/**
 * Selects the request headers that are forwarded to a service. Removes hop-by-hop headers and those meant for the host.
 */
export const selectRequestHeaders = (headers: IncomingHttpHeaders): Headers =>
    selectHeaders(headers, name => !nonForwardedHeaders.has(name) && !HOST_HEADERS.has(name));

/**
 * Selects the response headers that are forwarded to a caller. Removes hop-by-hop headers and those that the host sets.
 */
export const selectResponseHeaders = (headers: IncomingHttpHeaders): Headers =>
    selectHeaders(
        headers,
        name => !nonForwardedHeaders.has(name) && name !== callerHeaders.requestId && name !== callerHeaders.outcome,
    );

function selectHeaders(headers: IncomingHttpHeaders, isForwarded: (name: string) => boolean): Headers {
    const hopByHopNames = listConnectionHeaderNames(headers.connection ?? "");
    const entries = Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
        entry[1] !== undefined && isForwarded(entry[0]) && !hopByHopNames.has(entry[0])
    );
    return Object.fromEntries(entries);
}
