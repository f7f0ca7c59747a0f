/** Common server of all stand-ins: `/ledger`, `/faults` and the stand-in's own routes. */
import { type HttpRequest, type Route, sendJson, serveHttp } from "@currantrill/http";
import { faultSchema, type Ledger } from "@currantrill/protocol";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createFaultState, type FaultState, startFault } from "../model/faultState.js";
import { createFaultMiddleware } from "./applyFault.js";
import { type ConnectionSilencer, createConnectionSilencer } from "./silenceConnections.js";

/** Faults act on the stand-in's own interface only, so that a test can always read the ledger. */
const CONTROL_PATHS: ReadonlySet<string> = new Set(["/ledger", "/faults", "/owner/lending"]);

export interface StandinOptions {
    readonly host: string;
    readonly port: number;
    readonly readLedger: () => Ledger;
    readonly routes: readonly Route[];
    /** Created by the caller if its own work depends on the fault. */
    readonly faults?: FaultState;
}

export interface RunningStandin {
    readonly port: number;
    readonly faults: FaultState;
    readonly close: () => Promise<void>;
}

/** Starts the server. Port 0 takes a free one. */
export async function serveStandin(options: StandinOptions): Promise<RunningStandin> {
    const faults = options.faults ?? createFaultState();
    // The server exists only after the middleware; no request arrives in between.
    const holder: { silencer?: ConnectionSilencer; } = {};
    const isSilent = (request: IncomingMessage): boolean => holder.silencer?.isSilent(request) ?? false;
    const running = await serveHttp({
        host: options.host,
        port: options.port,
        middleware: [createFaultMiddleware(faults, isSilent, CONTROL_PATHS)],
        routes: [
            {
                method: "GET",
                path: "/ledger",
                handle: (_request, response) => sendJson(response, 200, options.readLedger()),
            },
            {
                method: "POST",
                path: "/faults",
                handle: (request, response) => acceptFault(faults, holder.silencer, request, response),
            },
            ...options.routes,
        ],
    });
    holder.silencer = createConnectionSilencer(running.server);
    return { port: running.port, faults, close: running.close };
}

function acceptFault(
    faults: FaultState,
    silencer: ConnectionSilencer | undefined,
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
        silencer?.silence(parsed.data.durationMs, request.socket);
    }
    sendJson(response, 200, { started: parsed.data }, { connection: "close" });
}
