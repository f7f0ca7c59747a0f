/** Parses the optional request headers: timeout, priority and idempotency key. */
import {
    callerHeaders,
    type IdempotencyKey,
    type Priority,
    prioritySchema,
    toIdempotencyKey,
} from "@currantrill/protocol";
import type { HostSettings } from "@currantrill/settings";
import type { IncomingHttpHeaders } from "node:http";
import { CallerError } from "../model/callerError.js";

const WHOLE_NUMBER = /^\d{1,9}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;

/** Parses the timeout in milliseconds. Throws the error `bad_timeout` (400) if it is malformed or out of range. */
export function parseTimeout(limits: HostSettings["limits"], headers: IncomingHttpHeaders): number {
    const text = readHeader(headers, callerHeaders.timeout);
    if (text === undefined) {
        return limits.default_timeout_ms;
    }
    const value = WHOLE_NUMBER.test(text) ? Number(text) : 0;
    if (value < 1 || value > limits.max_timeout_ms) {
        throw new CallerError("bad_timeout", {
            message: `Send a whole number of milliseconds from 1 to ${limits.max_timeout_ms}.`,
        });
    }
    return value;
}

/** Parses the priority; the default is `standard`. Throws the error `bad_priority` (400) if it is unknown. */
export function parsePriority(headers: IncomingHttpHeaders): Priority {
    const parsed = prioritySchema.safeParse(readHeader(headers, callerHeaders.priority) ?? "standard");
    if (!parsed.success) {
        throw new CallerError("bad_priority");
    }
    return parsed.data;
}

/** Parses the idempotency key, if there is one. Throws the error `bad_idempotency_key` (400) if it is malformed. */
export function parseIdempotencyKey(headers: IncomingHttpHeaders): IdempotencyKey | undefined {
    const text = readHeader(headers, callerHeaders.idempotencyKey);
    if (text === undefined) {
        return undefined;
    }
    if (!IDEMPOTENCY_KEY.test(text)) {
        throw new CallerError("bad_idempotency_key");
    }
    return toIdempotencyKey(text);
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value.join(", ") : value;
}
