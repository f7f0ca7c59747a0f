import { CallerError } from "../../callers/model/callerError.js";

const PREFIX = "/services/";

/** Service name and remaining path of a request to a plain service. */
export interface ServiceTarget {
    readonly service: string;
    /** Path below the service, without the query. */
    readonly path: string;
    /** Path and query below the service, unchanged. */
    readonly target: string;
}

/**
 * Splits a request target such as `/services/orders/stock?sku=1`. Throws the error `bad_path` (400) if the
 * path contains dot segments or invalid percent-encoding.
 */
export function parseServiceTarget(url: string): ServiceTarget {
    const afterPrefix = url.slice(PREFIX.length);
    const end = afterPrefix.search(/[/?]/);
    const service = end < 0 ? afterPrefix : afterPrefix.slice(0, end);
    const pathAndQuery = end < 0 ? "" : afterPrefix.slice(end);
    const target = pathAndQuery.startsWith("/") ? pathAndQuery : `/${pathAndQuery}`;
    const path = target.split("?", 1)[0] ?? target;
    if (hasDotSegment(path)) {
        throw new CallerError("bad_path");
    }
    return { service, path, target };
}

/**
 * Detects dot segments, encoded ones and ones between backslashes included. A service that resolves them would execute
 * a different operation than the one whose idempotency was looked up.
 */
function hasDotSegment(path: string): boolean {
    try {
        return decodeURIComponent(path).split(/[/\\]/).some(segment => segment === "." || segment === "..");
    }
    catch {
        throw new CallerError("bad_path", { message: "Send a path with valid percent-encoding." });
    }
}
