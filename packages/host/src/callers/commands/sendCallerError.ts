/** Sends error responses to callers. */
import { type HttpError, sendJson } from "@currantrill/http";
import { callerHeaders, type RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import type { HostContext } from "../../model/hostContext.js";
import { CallerError, type CallerErrorCode } from "../model/callerError.js";

/** Time in milliseconds for a caller to read the final event of a stream, before the connection is closed. */
const FINAL_EVENT_TIMEOUT_MS = 1_000;

/** Error types of the body parser and the codes that callers receive for them. */
const bodyErrorCodes: Readonly<Record<string, CallerErrorCode>> = {
    "entity.too.large": "body_too_large",
    "request.aborted": "body_incomplete",
};

/** Converts an error from a handler to the error that the caller receives. Logs unexpected errors. */
export function buildCallerError(context: HostContext, error: HttpError): CallerError {
    if (error instanceof CallerError) {
        return error;
    }
    const code = bodyErrorCodes[error.type ?? ""];
    if (code !== undefined) {
        return new CallerError(code);
    }
    context.log.error({ err: error }, "callers: unexpected error while serving a request");
    return new CallerError("internal_error", { outcome: "outcome_unknown" });
}

/** Sends an error as the response, or as the final event if a stream has already started. */
export function sendCallerError(
    context: HostContext,
    requestId: RequestId,
    response: ServerResponse,
    error: CallerError,
): void {
    context.metrics.requests.inc({ outcome: error.outcome, code: error.code });
    context.log.warn(
        { requestId, code: error.code, outcome: error.outcome, reason: error.message },
        "callers: request ended with an error",
    );
    if (response.destroyed) {
        return;
    }
    if (!response.headersSent) {
        response.setHeader(callerHeaders.requestId, requestId);
        sendJson(response, error.status, error.toBody(), error.toHeaders());
        return;
    }
    response.end(`data: ${JSON.stringify(error.toBody())}\n\n`);
    const timer = setTimeout(() => response.destroy(), FINAL_EVENT_TIMEOUT_MS);
    response.once("close", () => clearTimeout(timer));
}
