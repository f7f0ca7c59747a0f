/** Stand-in of the platform: table service, object store and host list. */
import { type HttpHandler, type Route, sendJson } from "@currantrill/http";
import { type RunningStandin, serveStandin } from "../../commands/serveStandin.js";
import { createLedgerState, recordEntry } from "../../model/ledgerState.js";
import { type RateLimit, takeToken } from "../../model/rateLimit.js";
import { createPlatformState } from "../model/platformState.js";
import { startHostCheck } from "./checkHosts.js";
import { listHostRoutes } from "./listHostRoutes.js";
import { listObjectRoutes, listTableRoutes } from "./listTableRoutes.js";

export interface PlatformStandinOptions {
    readonly host?: string;
    readonly port?: number;
    /** Delay until a change of the host list can be read, in milliseconds. */
    readonly hostListLagMs?: number;
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
}

const defaultOptions = {
    host: "127.0.0.1",
    port: 0,
    hostListLagMs: 1_000,
    writesPerSecond: 500,
    readsPerSecond: 2_000,
} satisfies PlatformStandinOptions;

/** Starts the stand-in. The ledger lists each committed transaction. */
export async function servePlatform(options: PlatformStandinOptions = {}): Promise<RunningStandin> {
    const settings = { ...defaultOptions, ...options };
    const state = createPlatformState(settings.writesPerSecond, settings.readsPerSecond);
    const ledger = createLedgerState();
    const recordCommit = (attemptId: string): void =>
        recordEntry(ledger, { requestId: "", attemptId, action: "transaction", outcome: "committed" });
    const routes = [
        ...listTableRoutes(state, recordCommit),
        ...listObjectRoutes(state),
        ...listHostRoutes(state, settings.hostListLagMs),
    ];
    startHostCheck(state);
    return serveStandin({
        host: settings.host,
        port: settings.port,
        readLedger: () => ledger,
        routes: routes.map(route => addRateLimit(route, route.method === "GET" ? state.reads : state.writes)),
    });
}

/** Answers 429 above the rate; the request is then not executed. */
function addRateLimit(route: Route, limit: RateLimit): Route {
    const handle: HttpHandler = (request, response) => {
        if (!takeToken(limit)) {
            sendJson(response, 429, { error: "rate limit" }, { "retry-after": "1" });
            return;
        }
        return route.handle(request, response);
    };
    return { ...route, handle };
}
