/** Error responses that the host itself generates. */
import { closeConnection } from "@currantrill/http";
import type { ServerResponse } from "node:http";

/**
 * Why the host responds in place of an endpoint. All reasons but `outcome_unknown`, `crash_suspected` and `out_of_time`
 * guarantee that the request has not run.
 */
export type RefusalReason =
    | "no_configuration"
    | "no_endpoint"
    /** All endpoints of the service are in evacuated failure domains. */
    | "evacuated"
    | "not_run"
    /** The prompt has a part that crashes endpoints. */
    | "part_isolated"
    /** The request as a whole crashes endpoints. */
    | "request_isolated"
    /** All endpoints of the service have got as many requests as they allow, or want none for a time. */
    | "rate_limited"
    /** The host stops before the request could be answered. */
    | "stopping"
    | "no_route"
    | "key_unknown"
    | "body_unreadable"
    | "body_too_large"
    /** The bodies of all requests on this host exceed its memory for them. */
    | "bodies_too_large"
    /** What callers make this host hold exceeds its memory for them. */
    | "no_memory"
    /** The host has as many connections as it may, all of them with requests in flight. */
    | "too_many_connections"
    | "outcome_unknown"
    /** The endpoint crashed, and the request or a part of its prompt may be the cause: no other endpoint is tried. */
    | "crash_suspected"
    | "out_of_time";

interface Refusal {
    readonly status: number;
    readonly message: string;
    /** Shortest suggested wait before a retry, in seconds. Only set where the request is guaranteed not to have run. */
    readonly retryAfterSeconds?: number;
}

const refusals: Readonly<Record<RefusalReason, Refusal>> = {
    no_configuration: { status: 503, message: "this host has no configuration yet", retryAfterSeconds: 0.5 },
    no_endpoint: { status: 503, message: "no endpoint can take the request now", retryAfterSeconds: 0.4 },
    evacuated: {
        status: 503,
        message: "all endpoints are in evacuated failure domains; the request was not run",
        retryAfterSeconds: 1,
    },
    not_run: { status: 503, message: "the request was not run", retryAfterSeconds: 0.15 },
    part_isolated: {
        status: 503,
        message: "a part of the prompt crashes endpoints; prompts with it are not run for now",
        retryAfterSeconds: 5,
    },
    request_isolated: {
        status: 503,
        message: "this request crashes endpoints; it is not run for now, also if it is sent again",
        retryAfterSeconds: 5,
    },
    rate_limited: {
        status: 503,
        message: "no endpoint takes a further request for now, by the limits that they state",
        retryAfterSeconds: 0.4,
    },
    // The other hosts are no more busy than before, so there is nothing to wait for.
    stopping: { status: 503, message: "this host is stopping; another one takes the request", retryAfterSeconds: 0.01 },
    no_route: { status: 404, message: "no route matches the host and path" },
    key_unknown: { status: 401, message: "the key is not known" },
    body_unreadable: { status: 400, message: "the body could not be read" },
    body_too_large: { status: 413, message: "the body is larger than the configuration allows" },
    bodies_too_large: {
        status: 503,
        message: "this host has no memory left for the body; the request was not run",
        retryAfterSeconds: 0.4,
    },
    no_memory: {
        status: 503,
        message: "this host has no memory left for the request; it was not run",
        retryAfterSeconds: 0.4,
    },
    too_many_connections: {
        status: 503,
        message: "this host has too many connections; the request was not run",
        retryAfterSeconds: 0.4,
    },
    outcome_unknown: { status: 502, message: "the endpoint's answer was lost; the request may have run" },
    crash_suspected: {
        status: 502,
        message:
            "the endpoint crashed while it processed the request, which may be the cause; it is not tried elsewhere",
    },
    out_of_time: { status: 504, message: "no answer within the request's time; the request may have run" },
};

/** Longest suggested wait as a multiple of the shortest one: callers refused together do not all come back together. */
const MAX_RETRY_SPREAD = 1.6;

/** Spreads a suggested wait at random, rounded to milliseconds. */
const spreadRetryAfter = (seconds: number): string =>
    String(Math.round(seconds * (1 + (MAX_RETRY_SPREAD - 1) * Math.random()) * 1_000) / 1_000);

/** Closes the connection of a response that has begun, so that the caller cannot mistake it for a complete one. */
export function closeResponse({ socket }: ServerResponse, cause: string): void {
    if (socket !== null) {
        closeConnection(socket, cause);
    }
}

/**
 * Sends a refusal and returns its status. `minRetryAfterSeconds` replaces the shortest wait of the reason. If response
 * headers have already been sent, closes the connection instead. Does nothing if the response has already ended.
 */
export function sendRefusal(
    response: ServerResponse,
    reason: RefusalReason,
    headers: Readonly<Record<string, string>> = {},
    minRetryAfterSeconds?: number,
): number {
    const { status, message, retryAfterSeconds: defaultSeconds } = refusals[reason];
    const retryAfterSeconds = minRetryAfterSeconds ?? defaultSeconds;
    if (response.writableEnded) {
        return status;
    }
    if (response.headersSent) {
        closeResponse(response, reason);
        return status;
    }
    response.writeHead(status, {
        "content-type": "application/json",
        ...(retryAfterSeconds === undefined ? {} : { "retry-after": spreadRetryAfter(retryAfterSeconds) }),
        ...headers,
    });
    response.end(JSON.stringify({ error: { code: reason, message } }));
    return status;
}
