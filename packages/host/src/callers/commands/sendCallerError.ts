/** Answers a failed request. */
import { type HttpError, sendJson } from "@currantrill/http";
import { callerHeaders, type RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import type { HostContext } from "../../model/hostContext.js";
import { CallerError, type CallerErrorCode } from "../model/callerError.js";

/** Time in which a caller can take the last event of a stream, before the connection is closed. */
const LAST_EVENT_MS = 1_000;

/** Names that the reader of bodies gives to its errors. */
const bodyErrorCodes: Readonly<Record<string, CallerErrorCode>> = {
    "entity.too.large": "body_too_large",
    "request.aborted": "body_incomplete",
};

/** Turns whatever a handler threw into the error that the caller receives. A fault of the host itself is logged. */
export function buildCallerError(context: HostContext, error: HttpError): CallerError {
    if (error instanceof CallerError) {
        return error;
    }
    const code = bodyErrorCodes[error.type ?? ""];
    if (code !== undefined) {
        return new CallerError(code);
    }
    context.log.error({ err: error }, "callers: request failed");
    return new CallerError("internal_error", { outcome: "outcome_unknown" });
}

/** Sends an error as the response, or as the last event of a stream that has begun. */
export function sendCallerError(
    context: HostContext,
    requestId: RequestId,
    response: ServerResponse,
    error: CallerError,
): void {
    context.metrics.requests.inc({ outcome: error.outcome, code: error.code });
    context.log.warn(
        { requestId, code: error.code, outcome: error.outcome, reason: error.message },
        "callers: refused",
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
    const timer = setTimeout(() => response.destroy(), LAST_EVENT_MS);
    response.once("close", () => clearTimeout(timer));
}
