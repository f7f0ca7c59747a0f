/** Stand-in of a plain service whose calls may not be repeated: it executes whatever it receives. */
import { type Route, sendJson } from "@currantrill/http";
import { createFaultState, waitForThaw } from "../model/faultState.js";
import { createLedgerState, recordEntry } from "../model/ledgerState.js";
import { type RunningStandin, serveStandin } from "./serveStandin.js";

export interface ServiceStandinOptions {
    readonly host?: string;
    readonly port?: number;
    /** Time between the effect and the answer, in milliseconds. */
    readonly answerDelayMs?: number;
}

const defaultOptions = { host: "127.0.0.1", port: 0, answerDelayMs: 5 } satisfies ServiceStandinOptions;

/** Starts the stand-in. */
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
                    () => void waitForThaw(faults).then(() => sendJson(response, 200, answer)),
                    settings.answerDelayMs,
                );
            },
        },
    ];
    return serveStandin({ host: settings.host, port: settings.port, readLedger: () => ledger, routes, faults });
}
