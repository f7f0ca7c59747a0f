/** Common server of all stand-ins: `/ledger`, `/faults` and the stand-in's own routes. */
import { type HttpRequest, type Route, sendJson, serveHttp } from "@currantrill/http";
import { faultSchema, type Ledger } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { type FaultState, handleFault, startFault } from "../model/faultState.js";

const CONTROL_PATHS: ReadonlySet<string> = new Set(["/ledger", "/faults"]);

export interface StandinOptions {
    readonly host: string;
    readonly port: number;
    readonly readLedger: () => Ledger;
    readonly routes: readonly Route[];
}

export interface RunningStandin {
    readonly port: number;
    readonly faults: FaultState;
    readonly close: () => Promise<void>;
}

/** Starts the server. Port 0 takes a free one. */
export async function serveStandin(options: StandinOptions): Promise<RunningStandin> {
    const faults: FaultState = { fault: undefined, untilMs: 0 };
    const running = await serveHttp({
        host: options.host,
        port: options.port,
        middleware: [(request, response, next) => {
            // Faults act on the stand-in's own interface only, so that a test can always read the ledger.
            if (CONTROL_PATHS.has(request.path)) {
                next();
                return;
            }
            handleFault(faults, request, response, next);
        }],
        routes: [
            {
                method: "GET",
                path: "/ledger",
                handle: (_request, response) => sendJson(response, 200, options.readLedger()),
            },
            { method: "POST", path: "/faults", handle: (request, response) => acceptFault(faults, request, response) },
            ...options.routes,
        ],
    });
    return { port: running.port, faults, close: running.close };
}

function acceptFault(faults: FaultState, request: HttpRequest, response: ServerResponse): void {
    const parsed = faultSchema.safeParse(request.body);
    if (!parsed.success) {
        sendJson(response, 400, { error: parsed.error.message });
        return;
    }
    startFault(faults, parsed.data);
    sendJson(response, 200, { started: parsed.data });
}
