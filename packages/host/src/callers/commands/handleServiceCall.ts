/** Serves calls to plain services. */
import { findObject } from "@currantrill/core";
import type { HttpRequest } from "@currantrill/http";
import { callerHeaders } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { runIdempotentCall } from "../../calls/commands/runIdempotentCall.js";
import { runRecordedCall } from "../../calls/commands/runRecordedCall.js";
import type { ServiceAnswer, ServiceCall } from "../../calls/model/serviceCall.js";
import { findOperation } from "../../calls/queries/findOperation.js";
import { parseServiceTarget } from "../../calls/queries/parseServiceTarget.js";
import { selectRequestHeaders } from "../../calls/queries/selectHeaders.js";
import { admitWorkspace } from "../../limits/commands/admitWorkspace.js";
import type { HostContext } from "../../model/hostContext.js";
import { getConfigurationIndex, listAllowedEndpoints } from "../../queries/getConfigurationIndex.js";
import { CallerError } from "../model/callerError.js";
import type { RequestScope } from "../model/requestScope.js";
import { parseIdempotencyKey } from "../queries/parseHeaders.js";

/** The same estimate as for prompts. */
const BYTES_PER_TOKEN = 4;

/** Admits a call, forwards it to the service and sends the response. Rejects with a `CallerError`. */
export async function handleServiceCall(
    context: HostContext,
    scope: RequestScope,
    request: HttpRequest,
    response: ServerResponse,
): Promise<void> {
    const call = buildCall(context, scope, request);
    const grant = admitWorkspace(context, scope.workspace, estimateBodyTokens(call.body));
    sendAnswer(response, await runCall(context, call).finally(() => grant.end()));
}

/** Estimates the tokens that a service call is charged with: one for each 4 bytes of its body, at least one. */
const estimateBodyTokens = (body: Buffer): number => Math.max(1, Math.ceil(body.length / BYTES_PER_TOKEN));

/** Runs the call. An operation that is not declared idempotent needs an idempotency key and is recorded. */
function runCall(context: HostContext, call: ServiceCall): Promise<ServiceAnswer> {
    if (call.idempotent) {
        return runIdempotentCall(context, call);
    }
    if (call.idempotencyKey === undefined) {
        throw new CallerError("key_required");
    }
    return runRecordedCall(context, call, call.idempotencyKey);
}

/** Builds the call. Throws a `CallerError` if the target is invalid or the workspace may not use the service. */
function buildCall(context: HostContext, scope: RequestScope, request: HttpRequest): ServiceCall {
    const { service: name, path, target } = parseServiceTarget(request.url ?? "");
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
        // Recorded responses are stored without their content encoding, so the service must not compress them.
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
