/** Errors that callers receive, with their HTTP status and default message. `docs/api.md` documents them. */
import type { CallerErrorBody, Outcome } from "@currantrill/protocol";

interface CallerErrorTemplate {
    readonly status: number;
    readonly message: string;
    /** Request field or header that the caller has to correct. */
    readonly field?: string;
    /** Sent as the header `retry-after`. */
    readonly retryAfterSeconds?: number;
}

const callerErrors = {
    bad_http: { status: 400, message: "Send a valid HTTP/1.1 request.", field: "request" },
    request_timeout: { status: 408, message: "Send the whole request faster.", field: "request" },
    headers_too_large: { status: 431, message: "Send smaller headers.", field: "headers" },
    body_too_large: { status: 413, message: "Send a smaller body.", field: "body" },
    body_incomplete: { status: 400, message: "Send the whole body.", field: "body" },
    bad_json: { status: 400, message: "Send a body that is valid JSON in UTF-8.", field: "body" },
    bad_request: { status: 400, message: "The body is not a completion request.", field: "body" },
    bad_timeout: { status: 400, message: "Send a whole number of milliseconds.", field: "X-Request-Timeout-Ms" },
    bad_priority: { status: 400, message: "Send interactive, standard or batch.", field: "X-Priority" },
    bad_idempotency_key: {
        status: 400,
        message: "Send 1 to 255 visible ASCII characters without spaces.",
        field: "Idempotency-Key",
    },
    key_required: {
        status: 400,
        message: "This operation must not run twice. Send a key that is unique to the call.",
        field: "Idempotency-Key",
    },
    bad_path: { status: 400, message: "Send a path without dot segments.", field: "path" },
    bad_method: { status: 405, message: "Use another method; docs/api.md lists them.", field: "method" },
    synthetic_prompt: { status: 400, message: "This host counts the tokens itself.", field: "prompt_tokens" },
    prompt_too_long: { status: 400, message: "Send a shorter prompt.", field: "prompt" },
    unknown_workspace: {
        status: 401,
        message: "Send the workspace key in the header Authorization as a bearer token.",
        field: "Authorization",
    },
    not_allowed: { status: 403, message: "No rule lets the workspace use it." },
    unknown_path: { status: 404, message: "No such path; docs/api.md lists them.", field: "path" },
    unknown_model: { status: 404, message: "No such model; GET /v1/models lists them.", field: "model" },
    unknown_service: { status: 404, message: "No such service.", field: "service" },
    idempotency_key_reused: {
        status: 422,
        message: "The key belongs to a call with other content. Send a new key.",
        field: "Idempotency-Key",
    },
    over_limit: { status: 429, message: "The workspace's entitlement is used up.", retryAfterSeconds: 1 },
    internal_error: { status: 500, message: "The host failed to serve the request." },
    endpoint_failed: { status: 502, message: "No endpoint gave a whole answer.", retryAfterSeconds: 1 },
    endpoint_unreachable: { status: 502, message: "No endpoint could be reached.", retryAfterSeconds: 1 },
    connection_lost: { status: 502, message: "The connection to the service broke after the call was sent." },
    no_endpoint: { status: 503, message: "No endpoint serves it now.", retryAfterSeconds: 1 },
    overloaded: { status: 503, message: "The request cannot be answered within its timeout.", retryAfterSeconds: 1 },
    store_unavailable: {
        status: 503,
        message: "The record of the call cannot be written now.",
        retryAfterSeconds: 1,
    },
    answer_not_kept: { status: 504, message: "The call has run, but its answer was not kept." },
    timeout: { status: 504, message: "The timeout has passed." },
    caller_closed: { status: 499, message: "The caller closed the connection." },
} as const satisfies Record<string, CallerErrorTemplate>;

/** Error codes, which callers receive in the field `code` of the error body. */
export type CallerErrorCode = keyof typeof callerErrors;

/** Values that replace the defaults of the code. */
export interface CallerErrorOptions {
    readonly message?: string;
    /** Defaults to `not_run`. */
    readonly outcome?: Exclude<Outcome, "answered">;
    readonly field?: string;
    readonly retryAfterSeconds?: number;
}

/**
 * Error that ends a request and that the caller receives. The outcome is `not_run` only if no byte of the request
 * can have left the host.
 */
export class CallerError extends Error {
    readonly status: number;
    readonly code: CallerErrorCode;
    readonly outcome: Exclude<Outcome, "answered">;
    readonly field: string | undefined;
    readonly retryAfterSeconds: number | undefined;

    constructor(code: CallerErrorCode, options: CallerErrorOptions = {}) {
        const template: CallerErrorTemplate = callerErrors[code];
        super(options.message ?? template.message);
        this.name = "CallerError";
        this.status = template.status;
        this.code = code;
        this.outcome = options.outcome ?? "not_run";
        this.field = options.field ?? template.field;
        this.retryAfterSeconds = options.retryAfterSeconds ?? template.retryAfterSeconds;
    }

    /** Returns the same error with the outcome `outcome_unknown`, for a request that may have been executed. */
    toUnknownOutcome(): CallerError {
        const { code, message, field, retryAfterSeconds } = this;
        return new CallerError(code, {
            message,
            outcome: "outcome_unknown",
            ...(field === undefined ? {} : { field }),
            ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
        });
    }

    /** Returns the JSON body of the error response. */
    toBody(): CallerErrorBody {
        const { code, message, outcome, field } = this;
        return { error: { code, message, outcome, ...(field === undefined ? {} : { field }) } };
    }

    /** Returns the headers of the error response. */
    toHeaders(): Record<string, string> {
        return {
            "x-outcome": this.outcome,
            ...(this.retryAfterSeconds === undefined ? {} : { "retry-after": String(this.retryAfterSeconds) }),
            // Closes the connection: the unread rest of the body would otherwise be parsed as the next request.
            ...(this.status === 413 ? { connection: "close" } : {}),
        };
    }
}
