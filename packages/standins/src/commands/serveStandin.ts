/** HTTP server that all stand-ins share: `/ledger`, `/faults` and the routes of the particular stand-in. */
import { type HttpRequest, type Route, sendJson, serveHttp } from "@currantrill/http";
import { faultSchema, type Ledger } from "@currantrill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createFaultState, type FaultState, startFault } from "../model/faultState.js";
import { createFaultMiddleware } from "./createFaultMiddleware.js";
import { type ConnectionSuspender, createConnectionSuspender } from "./suspendConnections.js";

/** Paths that faults do not affect, so that a test can read the ledger and change the fault at any time. */
const FAULT_EXEMPT_PATHS: ReadonlySet<string> = new Set(["/ledger", "/faults", "/owner/lending"]);

export interface StandinOptions {
    readonly host: string;
    readonly port: number;
    /** Returns the execution ledger for `GET /ledger`. */
    readonly readLedger: () => Ledger;
    readonly routes: readonly Route[];
    /** Fault state; passed by a stand-in whose request processing depends on the fault too (a freeze, for example). */
    readonly faults?: FaultState;
}

export interface RunningStandin {
    readonly port: number;
    readonly faults: FaultState;
    readonly close: () => Promise<void>;
}

/** Starts the server. Port 0 takes a free port. */
export async function serveStandin(options: StandinOptions): Promise<RunningStandin> {
    const faults = options.faults ?? createFaultState();
    // The middleware is needed to create the server, and the suspender needs the server. No request arrives in between.
    const serverState: { connectionSuspender?: ConnectionSuspender; } = {};
    const isSuspended = (request: IncomingMessage): boolean =>
        serverState.connectionSuspender?.isSuspended(request) ?? false;
    const running = await serveHttp({
        host: options.host,
        port: options.port,
        middleware: [createFaultMiddleware(faults, isSuspended, FAULT_EXEMPT_PATHS)],
        routes: [
            {
                method: "GET",
                path: "/ledger",
                handle: (_request, response) => sendJson(response, 200, options.readLedger()),
            },
            {
                method: "POST",
                path: "/faults",
                handle: (request, response) => acceptFault(faults, serverState.connectionSuspender, request, response),
            },
            ...options.routes,
        ],
    });
    serverState.connectionSuspender = createConnectionSuspender(running.server);
    return { port: running.port, faults, close: running.close };
}

function acceptFault(
    faults: FaultState,
    connectionSuspender: ConnectionSuspender | undefined,
    request: HttpRequest,
    response: ServerResponse,
): void {
    const parsed = faultSchema.safeParse(request.body);
    if (!parsed.success) {
        sendJson(response, 400, { error: parsed.error.message });
        return;
    }
    startFault(faults, parsed.data);
    if (parsed.data.kind === "silent" && parsed.data.durationMs > 0) {
        connectionSuspender?.suspend(parsed.data.durationMs, request.socket);
    }
    sendJson(response, 200, { started: parsed.data }, { connection: "close" });
}
