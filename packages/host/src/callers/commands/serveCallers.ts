/** HTTP server for the completion and service APIs. */
import { type HttpHandler, type HttpRequest, type Route, type RunningServer, serveHttp } from "@currantrill/http";
import { callerHeaders, type RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { createRequestId, type HostContext } from "../../model/hostContext.js";
import { CallerError, type CallerErrorCode } from "../model/callerError.js";
import { createRequestScope, type RequestScope } from "../model/requestScope.js";
import { findWorkspace } from "../queries/findWorkspace.js";
import { parsePriority, parseTimeout } from "../queries/parseHeaders.js";
import { handleCompletion } from "./handleCompletion.js";
import { handleServiceCall } from "./handleServiceCall.js";
import { buildCallerError, sendCallerError } from "./sendCallerError.js";
import { sendModels } from "./sendModels.js";

type CallerHandler = (scope: RequestScope, request: HttpRequest, response: ServerResponse) => void | Promise<void>;

/** Codes of requests that the HTTP parser rejects, by status. */
const badRequestCodes = { 400: "bad_http", 408: "request_timeout", 431: "headers_too_large" } as const satisfies Record<
    number,
    CallerErrorCode
>;

/** Starts the server on the address `listen.callers` of the settings. */
export function serveCallers(context: HostContext): Promise<RunningServer> {
    const [host = "", port = ""] = context.settings.listen.callers.split(":");
    return serveHttp({
        host,
        port: Number(port),
        bodies: "raw",
        bodyLimitBytes: context.settings.limits.max_body_bytes,
        maxHeaderBytes: context.settings.limits.max_header_bytes,
        handleError: (error, _request, response) =>
            sendCallerError(context, createRequestId(), response, buildCallerError(context, error)),
        handleNotFound: (_request, response) =>
            sendCallerError(context, createRequestId(), response, new CallerError("unknown_path")),
        describeBadRequest: status => {
            const error = new CallerError(badRequestCodes[status]);
            context.metrics.requests.inc({ outcome: error.outcome, code: error.code });
            return {
                headers: { ...error.toHeaders(), [callerHeaders.requestId]: createRequestId() },
                body: error.toBody(),
            };
        },
        routes: listRoutes(context),
    });
}

function listRoutes(context: HostContext): Route[] {
    const track = (handle: CallerHandler): HttpHandler => (request, response) =>
        trackRequest(context, handle, request, response);
    const chat = track((scope, request, response) => handleCompletion(context, "chat", scope, request, response));
    const text = track((scope, request, response) => handleCompletion(context, "text", scope, request, response));
    const models = track((scope, _request, response) => sendModels(context, scope, response));
    const service = track((scope, request, response) => handleServiceCall(context, scope, request, response));
    const refuseMethod = track(() => {
        throw new CallerError("bad_method");
    });
    return [
        { method: "POST", path: "/v1/chat/completions", handle: chat },
        { method: "ALL", path: "/v1/chat/completions", handle: refuseMethod },
        { method: "POST", path: "/v1/completions", handle: text },
        { method: "ALL", path: "/v1/completions", handle: refuseMethod },
        { method: "GET", path: "/v1/models", handle: models },
        { method: "ALL", path: "/v1/models", handle: refuseMethod },
        { method: "ALL", path: "/services/:service", handle: service },
        { method: "ALL", path: "/services/:service/*", handle: service },
    ];
}

/** Runs a handler with a new request scope, counts the request and sends the error that the handler throws. */
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
    if (context.draining) {
        response.setHeader("connection", "close");
    }
    try {
        await handle(createScope(context, requestId, request, response), request, response);
        context.metrics.requests.inc({ outcome: "answered", code: "" });
    }
    catch (error) {
        sendCallerError(context, requestId, response, buildCallerError(context, error as Error));
    }
    finally {
        context.inFlight.delete(requestId);
        context.metrics.inFlight.set(context.inFlight.size);
    }
}

function createScope(
    context: HostContext,
    requestId: RequestId,
    request: HttpRequest,
    response: ServerResponse,
): RequestScope {
    const { headers } = request;
    return createRequestScope({
        requestId,
        workspace: findWorkspace(context.configuration.current, headers),
        priority: parsePriority(headers),
        arrivedAtMs: performance.now(),
        timeoutMs: parseTimeout(context.settings.limits, headers),
    }, response);
}
