/** Passes a call on to a plain service. */
import { findObject, listObjects } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import { callerHeaders, type RequestId } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { request as sendRequest } from "undici";
import { createAttemptId, type HostContext } from "../../model/hostContext.js";
import { CallerError } from "../model/callerError.js";
import { findWorkspace } from "../queries/findWorkspace.js";
import { parseTimeout } from "../queries/parseTimeout.js";

/** Serves one call. Throws `CallerError`. */
export async function handleServiceCall(
    context: HostContext,
    requestId: RequestId,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    findWorkspace(context, request.headers);
    const timeoutMs = parseTimeout(context, request.headers);
    const service = findObject(context.configuration.current, "service", request.params["service"] ?? "");
    if (service === undefined) {
        throw new CallerError({ status: 404, code: "unknown_service", message: "No such service.", field: "service" });
    }
    const endpoint = listObjects(context.configuration.current, "endpoint").find(entry => entry.pool === service.pool);
    if (endpoint === undefined) {
        throw new CallerError({
            status: 503,
            code: "no_endpoint",
            message: "No endpoint serves it now.",
            retryAfterSeconds: 1,
        });
    }
    const path = request.path.slice(`/services/${service.name}`.length);
    context.log.info({ requestId, endpoint: endpoint.name }, "routing: endpoint chosen");
    const answer = await sendRequest(`${endpoint.url}${path}`, {
        method: request.method ?? "GET",
        headers: {
            "content-type": request.headers["content-type"] ?? "application/json",
            "x-request-id": requestId,
            "x-attempt-id": createAttemptId(),
            "idempotency-key": request.headers[callerHeaders.idempotencyKey] ?? "",
        },
        body: request.method === "GET" ? null : JSON.stringify(request.body),
        signal: AbortSignal.timeout(timeoutMs),
    });
    response.writeHead(answer.statusCode, { "content-type": "application/json", "x-outcome": "answered" });
    response.end(await answer.body.text());
}
