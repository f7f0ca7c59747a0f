/** Passes a call on to a plain service. */
import { findObject } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { runIdempotentCall } from "../../calls/commands/runIdempotentCall.js";
import { runRecordedCall } from "../../calls/commands/runRecordedCall.js";
import type { ServiceAnswer, ServiceCall } from "../../calls/model/serviceCall.js";
import { findOperation } from "../../calls/queries/findOperation.js";
import { parseTarget } from "../../calls/queries/parseTarget.js";
import { selectRequestHeaders } from "../../calls/queries/selectHeaders.js";
import { admitWorkspace } from "../../limits/commands/admitWorkspace.js";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex, listAllowedEndpoints } from "../../queries/getConfigurationIndex.js";
import { CallerError } from "../model/callerError.js";
import type { RequestScope } from "../model/requestScope.js";
import { parseIdempotencyKey } from "../queries/parseHeaders.js";

const BYTES_PER_TOKEN = 4;

/** Serves one call. Rejects with a `CallerError`. */
export async function handleServiceCall(
    context: HostContext,
    scope: RequestScope,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    const call = buildCall(context, scope, request);
    const grant = admitWorkspace(context, scope.workspace, countBodyTokens(call.body));
    sendAnswer(response, await runCall(context, call).finally(() => grant.end()));
}

/** A service call counts towards the workspace's tokens by the size of its body. */
const countBodyTokens = (body: Buffer): number => Math.max(1, Math.ceil(body.length / BYTES_PER_TOKEN));

function runCall(context: HostContext, call: ServiceCall): Promise<ServiceAnswer> {
    if (call.idempotent) {
        return runIdempotentCall(context, call);
    }
    if (call.idempotencyKey === undefined) {
        throw new CallerError("key_required");
    }
    return runRecordedCall(context, call, call.idempotencyKey);
}

function buildCall(context: HostContext, scope: RequestScope, request: HttpRequest): ServiceCall {
    const { service: name, path, target } = parseTarget(request.url ?? "");
    const configuration = context.configuration.current;
    const service = findObject(configuration, "service", name);
    if (service === undefined) {
        throw new CallerError("unknown_service");
    }
    const method = request.method ?? "GET";
    const operation = findOperation(service, method, path);
    const idempotent = operation?.idempotent ?? false;
    const headers = selectRequestHeaders(request.headers);
    if (!idempotent) {
        // The stored answer keeps no content encoding.
        delete headers["accept-encoding"];
    }
    const endpoints = listAllowedEndpoints(getConfigurationIndex(configuration), scope.workspace.name, [service.pool]);
    if (endpoints.length === 0) {
        throw new CallerError("not_allowed", { message: "No rule lets the workspace use the service." });
    }
    return {
        scope,
        service,
        endpoints,
        method,
        target,
        headers,
        body: request.body as Buffer,
        idempotencyKey: parseIdempotencyKey(request.headers),
        operation: `${method} ${operation?.path ?? path}`,
        idempotent,
    };
}

function sendAnswer(response: ServerResponse, answer: ServiceAnswer): void {
    response.writeHead(answer.status, { ...answer.headers, [callerHeaders.outcome]: "answered" });
    response.end(answer.body);
}
