/** Simulates the platform that hosts depend on: table service, object store and host list. */
import { type HttpHandler, type Route, sendJson } from "@currantrill/http";
import { type RunningStandin, serveStandin } from "../../commands/serveStandin.js";
import { createLedgerState, recordEntry } from "../../model/ledgerState.js";
import { takeToken, type TokenBucket } from "../../model/tokenBucket.js";
import { createPlatformState } from "../model/platformState.js";
import { listHostRoutes } from "./listHostRoutes.js";
import { listObjectRoutes, listTableRoutes } from "./listTableRoutes.js";
import { startHostHealthChecks } from "./startHostHealthChecks.js";

export interface PlatformStandinOptions {
    readonly host?: string;
    /** Port to listen on; 0 takes a free one. */
    readonly port?: number;
    /** Delay until a change of the host list becomes readable, in milliseconds. */
    readonly hostListLagMs?: number;
    /** Maximum rate of all requests except GET. */
    readonly writesPerSecond?: number;
    /** Maximum rate of GET requests. */
    readonly readsPerSecond?: number;
}

const defaultOptions = {
    host: "127.0.0.1",
    port: 0,
    hostListLagMs: 1_000,
    writesPerSecond: 500,
    readsPerSecond: 2_000,
} satisfies PlatformStandinOptions;

/** Starts the platform stand-in. The ledger lists each committed transaction. */
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
    startHostHealthChecks(state);
    return serveStandin({
        host: settings.host,
        port: settings.port,
        readLedger: () => ledger,
        routes: routes.map(route => addRateLimit(route, route.method === "GET" ? state.reads : state.writes)),
    });
}

/** Wraps a route so that a request above the rate gets status 429 and is not executed. */
function addRateLimit(route: Route, bucket: TokenBucket): Route {
    const handle: HttpHandler = (request, response) => {
        if (!takeToken(bucket)) {
            sendJson(response, 429, { error: "rate limit" }, { "retry-after": "1" });
            return;
        }
        return route.handle(request, response);
    };
    return { ...route, handle };
}
