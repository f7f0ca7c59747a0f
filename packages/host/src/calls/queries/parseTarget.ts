import { CallerError } from "../../callers/model/callerError.js";

const PREFIX = "/services/";

export interface ServiceTarget {
    readonly service: string;
    /** Path below the service, without the query. */
    readonly path: string;
    /** Path and query below the service, unchanged. */
    readonly target: string;
}

/** Splits a request target such as `/services/orders/stock?sku=1`. Throws a 400 error for dot segments. */
export function parseTarget(url: string): ServiceTarget {
    const rest = url.slice(PREFIX.length);
    const end = rest.search(/[/?]/);
    const service = end < 0 ? rest : rest.slice(0, end);
    const below = end < 0 ? "" : rest.slice(end);
    const target = below.startsWith("/") ? below : `/${below}`;
    const path = target.split("?", 1)[0] ?? target;
    if (hasDotSegment(path)) {
        throw new CallerError("bad_path");
    }
    return { service, path, target };
}

/** A service that resolves dot segments would run another operation than the one that was looked up. */
function hasDotSegment(path: string): boolean {
    try {
        return decodeURIComponent(path).split(/[/\\]/).some(segment => segment === "." || segment === "..");
    }
    catch {
        throw new CallerError("bad_path", { message: "Send a path with valid percent-encoding." });
    }
}
