/** HTTP server for operators: tickets, health and metrics. */
import { type HttpHandler, type RunningServer, sendJson, serveHttp } from "@currantrill/http";
import { parseTicket } from "@currantrill/settings";
import type { HostContext } from "../../model/hostContext.js";
import { applyTicket } from "./applyTicket.js";

/** Starts the server on the settings' operators address. */
export function serveOperators(context: HostContext): Promise<RunningServer> {
    const [host = "", port = ""] = context.settings.listen.operators.split(":");
    const guard = (handle: HttpHandler): HttpHandler => (request, response) => {
        if (request.headers.authorization !== `Bearer ${context.settings.operator_key}`) {
            sendJson(response, 401, {
                error: { code: "unknown_operator", message: "Send the operator key as a bearer token." },
            });
            return;
        }
        return handle(request, response);
    };
    return serveHttp({
        host,
        port: Number(port),
        routes: [
            { method: "GET", path: "/healthz", handle: (_request, response) => sendJson(response, 200, { ok: true }) },
            { method: "GET", path: "/readyz", handle: (_request, response) => sendReadiness(context, response) },
            {
                method: "GET",
                path: "/metrics",
                handle: async (_request, response) => {
                    response.writeHead(200, { "content-type": context.metrics.registry.contentType });
                    response.end(await context.metrics.registry.metrics());
                },
            },
            {
                method: "GET",
                path: "/admin/configuration",
                handle: guard((_request, response) => sendJson(response, 200, context.configuration.current)),
            },
            {
                method: "POST",
                path: "/admin/tickets",
                handle: guard(async (request, response) => {
                    const { text, source } = request.body as { text: string; source: string; };
                    const parsed = parseTicket(text, source);
                    const result = parsed.ok ? await applyTicket(context, parsed.value) : parsed;
                    sendJson(response, result.ok ? 200 : parsed.ok ? 409 : 400, result);
                }),
            },
        ],
    });
}

function sendReadiness(context: HostContext, response: Parameters<HttpHandler>[1]): void {
    const ready = !context.draining && context.configuration.confirmedAt !== undefined;
    sendJson(response, ready ? 200 : 503, {
        ready,
        draining: context.draining,
        revision: context.configuration.current.revision,
    });
}
