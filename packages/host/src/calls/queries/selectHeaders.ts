/** Headers that are passed on between callers and services. */
import { connectionHeaders, listConnectionNames } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";
import type { IncomingHttpHeaders } from "node:http";

/** The workspace key is for the host alone; the others are replaced by the host's own values. */
const HOST_HEADERS: ReadonlySet<string> = new Set([
    callerHeaders.authorization,
    callerHeaders.timeout,
    callerHeaders.priority,
    callerHeaders.requestId,
    callerHeaders.outcome,
]);

type Headers = Record<string, string | string[]>;

/** Selects what a service receives of a caller's headers. */
export const selectRequestHeaders = (headers: IncomingHttpHeaders): Headers =>
    selectHeaders(headers, name => !connectionHeaders.has(name) && !HOST_HEADERS.has(name));

/** Selects what a caller receives of a service's headers. */
export const selectAnswerHeaders = (headers: IncomingHttpHeaders): Headers =>
    selectHeaders(
        headers,
        name => !connectionHeaders.has(name) && name !== callerHeaders.requestId && name !== callerHeaders.outcome,
    );

function selectHeaders(headers: IncomingHttpHeaders, accepts: (name: string) => boolean): Headers {
    const dropped = listConnectionNames(headers.connection ?? "");
    const entries = Object.entries(headers).filter((entry): entry is [string, string | string[]] =>
        entry[1] !== undefined && accepts(entry[0]) && !dropped.has(entry[0])
    );
    return Object.fromEntries(entries);
}
