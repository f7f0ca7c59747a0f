import { callerHeaders } from "@currantrill/protocol";
import type { IncomingHttpHeaders } from "node:http";
import type { HostContext } from "../../model/hostContext.js";
import { CallerError } from "../model/callerError.js";

/** Reads the timeout of a request in milliseconds. Throws a 400 error if it is out of range. */
export function parseTimeout(context: HostContext, headers: IncomingHttpHeaders): number {
    const limits = context.settings.limits;
    const text = headers[callerHeaders.timeout];
    if (text === undefined) {
        return limits.default_timeout_ms;
    }
    const value = Number(text);
    if (!Number.isInteger(value) || value < 1 || value > limits.max_timeout_ms) {
        throw new CallerError({
            status: 400,
            code: "bad_timeout",
            message: `Send a whole number of milliseconds from 1 to ${limits.max_timeout_ms} in X-Request-Timeout-Ms.`,
            field: "X-Request-Timeout-Ms",
        });
    }
    return value;
}
