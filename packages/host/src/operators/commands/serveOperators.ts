/** HTTP server for operators: tickets, stops, host statuses, health, readiness and metrics. */
import {
    type HttpError,
    type HttpHandler,
    type HttpRequest,
    type Route,
    type RunningServer,
    sendJson,
    serveHttp,
} from "@currantrill/http";
import type { HostsAnswer } from "@currantrill/protocol";
import { timingSafeEqual } from "node:crypto";
import type { ServerResponse } from "node:http";
import { computeConfirmationAge } from "../../configuration/queries/computeConfirmationAge.js";
import { isReady } from "../../configuration/queries/isReady.js";
import type { HostContext } from "../../model/hostContext.js";
import { OperatorFailure } from "../model/operatorFailure.js";
import { listHostStatuses } from "../queries/listHostStatuses.js";
import { handleDomains } from "./handleDomains.js";
import { handleStop } from "./handleStop.js";
import { handleApply, handleHistory, handlePlan, handleStatus } from "./handleTickets.js";

type AdminHandler = (context: HostContext, request: HttpRequest) => unknown;

const adminRoutes: readonly { method: Route["method"]; path: string; handle: AdminHandler; }[] = [
    { method: "POST", path: "/admin/tickets/plan", handle: handlePlan },
    { method: "POST", path: "/admin/tickets", handle: handleApply },
    { method: "GET", path: "/admin/tickets/:number", handle: handleStatus },
    { method: "GET", path: "/admin/tickets", handle: handleHistory },
    { method: "GET", path: "/admin/domains", handle: handleDomains },
    { method: "POST", path: "/admin/stops", handle: handleStop },
    { method: "GET", path: "/admin/hosts", handle: handleHosts },
    { method: "GET", path: "/admin/configuration", handle: context => context.configuration.current },
];

/** Starts the server on the address `listen.operators` of the settings. Rejects if the address cannot be bound. */
export function serveOperators(context: HostContext): Promise<RunningServer> {
    const [host = "", port = ""] = context.settings.listen.operators.split(":");
    return serveHttp({
        host,
        port: Number(port),
        handleError: (error, _request, response) => sendFailure(context, response, error),
        routes: [
            { method: "GET", path: "/healthz", handle: (_request, response) => sendJson(response, 200, { ok: true }) },
            { method: "GET", path: "/readyz", handle: (_request, response) => sendReadiness(context, response) },
            { method: "GET", path: "/metrics", handle: (_request, response) => sendMetrics(context, response) },
            ...adminRoutes.map(({ method, path, handle }) => ({
                method,
                path,
                handle: createAdminHandler(context, handle),
            })),
        ],
    });
}

function handleHosts(context: HostContext): HostsAnswer {
    return { revision: context.configuration.current.revision, hosts: listHostStatuses(context) };
}

/** Wraps a handler of an admin route: checks the operator key first, and sends the result as JSON. */
function createAdminHandler(context: HostContext, handle: AdminHandler): HttpHandler {
    const expected = Buffer.from(`Bearer ${context.settings.operator_key}`);
    return async (request, response) => {
        const given = Buffer.from(request.headers.authorization ?? "");
        if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
            throw new OperatorFailure("unknown_operator");
        }
        sendJson(response, 200, await handle(context, request));
    };
}

function sendFailure(context: HostContext, response: ServerResponse, error: HttpError): void {
    const failure = error instanceof OperatorFailure ? error : toFailure(context, error);
    sendJson(response, failure.status, failure.toBody());
}

/**
 * Converts any other error. An unreadable body is an error of the operator; the rest are faults of the host, and
 * logged.
 */
function toFailure(context: HostContext, error: HttpError): OperatorFailure {
    if (error.type?.startsWith("entity.") === true) {
        const finding = { source: "request", path: "body", found: error.message, expected: "valid JSON" };
        return new OperatorFailure("invalid", [finding]);
    }
    context.log.error({ err: error }, "operators: request failed");
    return new OperatorFailure("outcome_unknown", [], "The host failed to handle the request; its log says why.");
}

function sendReadiness(context: HostContext, response: ServerResponse): void {
    const ready = isReady(context);
    const { revision } = context.configuration.current;
    sendJson(response, ready ? 200 : 503, { ready, draining: context.draining, revision });
}

async function sendMetrics(context: HostContext, response: ServerResponse): Promise<void> {
    const ageMs = computeConfirmationAge(context.configuration);
    context.metrics.confirmationAgeSeconds.set(ageMs === undefined ? Infinity : ageMs / 1_000);
    const text = await context.metrics.registry.metrics();
    response.writeHead(200, { "content-type": context.metrics.registry.contentType });
    response.end(text);
}
