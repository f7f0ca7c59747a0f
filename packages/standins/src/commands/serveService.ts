/** Simulates an HTTP service with non-idempotent calls: it executes each request, also a repeated one. */
import { type Route, sendJson } from "@currantrill/http";
import { createFaultState, waitUntilUnfrozen } from "../model/faultState.js";
import { createLedgerState, recordEntry } from "../model/ledgerState.js";
import { type RunningStandin, serveStandin } from "./serveStandin.js";

export interface ServiceStandinOptions {
    readonly host?: string;
    /** Port to listen on; 0 takes a free one. */
    readonly port?: number;
    /** Delay between the execution of a call and its response, in milliseconds. */
    readonly answerDelayMs?: number;
}

const defaultOptions = { host: "127.0.0.1", port: 0, answerDelayMs: 5 } satisfies ServiceStandinOptions;

/** Starts the service stand-in. Each call appears in the ledger as `executed`. */
export async function serveService(options: ServiceStandinOptions = {}): Promise<RunningStandin> {
    const settings = { ...defaultOptions, ...options };
    const ledger = createLedgerState();
    const faults = createFaultState();
    const routes: Route[] = [
        {
            method: "ALL",
            path: "/*",
            handle: (request, response) => {
                const path = request.path;
                recordEntry(ledger, {
                    requestId: String(request.headers["x-request-id"] ?? ""),
                    attemptId: String(request.headers["x-attempt-id"] ?? ""),
                    idempotencyKey: String(request.headers["idempotency-key"] ?? ""),
                    action: `${request.method ?? ""} ${path}`,
                    outcome: "executed",
                });
                const answer = { executed: ledger.entries.length, path, echo: request.body ?? null };
                setTimeout(
                    () => void waitUntilUnfrozen(faults).then(() => sendJson(response, 200, answer)),
                    settings.answerDelayMs,
                );
            },
        },
    ];
    return serveStandin({ host: settings.host, port: settings.port, readLedger: () => ledger, routes, faults });
}
