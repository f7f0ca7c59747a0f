/** HTTP server for callers. */
import { listObjects } from "@currantrill/core";
import {
    type HttpError,
    type HttpHandler,
    type HttpRequest,
    type RunningServer,
    sendJson,
    serveHttp,
} from "@currantrill/http";
import { callerHeaders, type RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { createRequestId, type HostContext } from "../../model/hostContext.js";
import { CallerError } from "../model/callerError.js";
import { handleCompletion } from "./handleCompletion.js";
import { handleServiceCall } from "./handleServiceCall.js";

type CallerHandler = (requestId: RequestId, request: HttpRequest, response: ServerResponse) => void | Promise<void>;

/** Starts the server on the settings' callers address. */
export function serveCallers(context: HostContext): Promise<RunningServer> {
    const [host = "", port = ""] = context.settings.listen.callers.split(":");
    const track = (handle: CallerHandler): HttpHandler => (request, response) =>
        trackRequest(context, handle, request, response);
    return serveHttp({
        host,
        port: Number(port),
        bodyLimitBytes: context.settings.limits.max_body_bytes,
        handleError: (error, _request, response) => sendCallerError(context, response, toCallerError(error)),
        routes: [
            {
                method: "POST",
                path: "/v1/chat/completions",
                handle: track((id, request, response) => handleCompletion(context, "chat", id, request, response)),
            },
            {
                method: "POST",
                path: "/v1/completions",
                handle: track((id, request, response) => handleCompletion(context, "text", id, request, response)),
            },
            {
                method: "GET",
                path: "/v1/models",
                handle: track((_id, _request, response) => sendModels(context, response)),
            },
            {
                method: "ALL",
                path: "/services/:service/*",
                handle: track((id, request, response) => handleServiceCall(context, id, request, response)),
            },
        ],
    });
}

async function trackRequest(
    context: HostContext,
    handle: CallerHandler,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    const requestId = createRequestId();
    context.inFlight.add(requestId);
    context.metrics.inFlight.set(context.inFlight.size);
    response.setHeader(callerHeaders.requestId, requestId);
    try {
        await handle(requestId, request, response);
        context.metrics.requests.inc({ outcome: "answered", code: "" });
    }
    catch (error) {
        context.log.warn({ requestId, err: error }, "callers: request failed");
        sendCallerError(context, response, toCallerError(error as HttpError));
    }
    finally {
        context.inFlight.delete(requestId);
        context.metrics.inFlight.set(context.inFlight.size);
    }
}

function sendModels(context: HostContext, response: ServerResponse): void {
    const data = listObjects(context.configuration.current, "model").map(model => ({
        id: model.name,
        object: "model",
    }));
    sendJson(response, 200, { object: "list", data }, { "x-outcome": "answered" });
}

function toCallerError(error: HttpError): CallerError {
    if (error instanceof CallerError) {
        return error;
    }
    if (error.type === "entity.too.large") {
        return new CallerError({ status: 413, code: "body_too_large", message: "Send a smaller body.", field: "body" });
    }
    if (error.type === "entity.parse.failed") {
        return new CallerError({
            status: 400,
            code: "bad_json",
            message: "Send a body that is valid JSON.",
            field: "body",
        });
    }
    return new CallerError({
        status: 502,
        code: "endpoint_failed",
        message: "The endpoint gave no whole answer.",
        outcome: "outcome_unknown",
    });
}

function sendCallerError(context: HostContext, response: ServerResponse, error: CallerError): void {
    context.metrics.requests.inc({ outcome: error.outcome, code: error.code });
    if (response.headersSent) {
        response.end(`data: ${JSON.stringify(error.toBody())}\n\n`);
        return;
    }
    const retryAfter = error.retryAfterSeconds === undefined ? {} : { "retry-after": String(error.retryAfterSeconds) };
    sendJson(response, error.status, error.toBody(), { "x-outcome": error.outcome, ...retryAfter });
}
