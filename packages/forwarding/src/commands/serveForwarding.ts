/** HTTP servers of a forwarding host: requests of callers, readiness, and metrics. */
import { type RunningServer, sendJson, serveHttp, type ServeHttpOptions } from "@currantrill/http";
import type { AddressBinder } from "@currantrill/lifecycle";
import type { CallerLimits } from "../configuration/model/servingConfiguration.js";
import type { ForwardingContext } from "../model/forwardingContext.js";
import { describeMissing } from "../queries/describeMissing.js";
import { forwardRequest } from "../requests/commands/forwardRequest.js";
import { type RefusalReason, sendRefusal } from "../requests/commands/sendRefusal.js";
import { createServerGuard } from "./createServerGuard.js";

/** Limit of the HTTP parser on a request's headers; the limit in the configuration is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Limit on a request body until the first configuration is active. */
const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
/** Time in which a request must be received in full; after it the connection of a slow sender is closed. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Reasons to refuse a request that is not forwarded, by the type of the error. */
const refusalReasons: Readonly<Record<string, RefusalReason>> = {
    "entity.too.large": "body_too_large",
    "body.budget": "bodies_too_large",
    "server.stop": "stopping",
    "connection.limit": "too_many_connections",
};

type ServerOptions = Omit<ServeHttpOptions, "host" | "port" | "bodies">;

export interface ForwardingServers {
    readonly callers: RunningServer;
    /** Applies the connection timeouts of a configuration to the server for callers. */
    readonly applyLimits: (limits: CallerLimits) => void;
    /** Closes the servers for readiness and metrics; `callers` is closed separately. */
    readonly close: () => Promise<void>;
}

/** Starts the servers on the addresses in the settings. Rejects if `bindAddress` gives up one of them. */
export async function serveForwarding(
    context: ForwardingContext,
    bindAddress: AddressBinder,
): Promise<ForwardingServers> {
    const bodyLimitBytes = (): number =>
        context.getConfiguration()?.configuration.limits.maxBodyBytes ?? DEFAULT_BODY_BYTES;
    const serve = (name: "readiness" | "metrics" | "callers", options: ServerOptions): Promise<RunningServer> => {
        const address = context.settings.listen[name];
        const guard = createServerGuard(context, name);
        return bindAddress(
            name,
            address,
            () => serveHttp({ ...splitAddress(address), bodies: "raw", bodyLimitBytes, ...guard, ...options }),
        );
    };
    const readiness = await serve("readiness", {
        routes: [{
            method: "GET",
            path: context.callers.readinessPath,
            handle: (_request, response) => {
                const waitingFor = describeMissing(context);
                sendJson(response, waitingFor === undefined ? 200 : 503, {
                    ready: waitingFor === undefined,
                    ...(waitingFor === undefined ? {} : { waitingFor }),
                });
            },
        }],
    });
    const metrics = await serve("metrics", {
        routes: [{
            method: "GET",
            path: "/metrics",
            handle: async (_request, response) => {
                const text = await context.metrics.registry.metrics();
                response.writeHead(200, { "content-type": context.metrics.registry.contentType });
                response.end(text);
            },
        }],
    });
    const callers = await serve("callers", {
        maxHeaderBytes: MAX_HEADER_BYTES,
        requestTimeoutMs: REQUEST_TIMEOUT_MS,
        handleError: (error, _request, response) => {
            const reason = refusalReasons[error.type ?? ""] ?? "body_unreadable";
            if (reason !== "too_many_connections") {
                context.log.info({ err: error }, "requests: could not read the request body");
            }
            context.metrics.requests.inc({ kind: "unrouted", outcome: reason });
            sendRefusal(response, reason);
        },
        routes: [{
            method: "ALL",
            path: "*",
            handle: (request, response) => forwardRequest(context, request, response),
        }],
    });
    return {
        callers,
        applyLimits: limits => {
            callers.server.keepAliveTimeout = limits.idleTimeoutMs;
            callers.server.headersTimeout = limits.headerTimeoutMs;
        },
        close: async () => {
            await readiness.close();
            await metrics.close();
        },
    };
}

function splitAddress(address: string): { host: string; port: number; } {
    const [host = "", port = "0"] = address.split(":");
    return { host, port: Number(port) };
}
