/** A stand-in server that serves the load reports of many engines, whose load changes continuously. */
import { type RunningServer, sendJson, serveHttp } from "@currantrill/http";
import type { EngineReport } from "@currantrill/protocol";

const SLOTS = 16;
/** Queued prompt tokens, and used memory, of each running request. */
const TOKENS_PER_REQUEST = 3_000;
/** Interval at which the sequence number of the reports increases. */
const REPORT_INTERVAL_MS = 250;

/** Serves `/<name>/v1/report` for any engine name on a free port. The load of each engine has a period of 16 s. */
export function serveLoadReports(): Promise<RunningServer> {
    return serveHttp({
        host: "127.0.0.1",
        port: 0,
        routes: [{
            method: "GET",
            path: "/:name/v1/report",
            handle: (request, response) => sendJson(response, 200, buildReport(request.params["name"] ?? "")),
        }],
    });
}

function buildReport(name: string): EngineReport {
    const phase = Buffer.from(name).reduce((sum, byte) => sum + byte, 0);
    const second = Math.floor(Date.now() / 1_000);
    const runningRequests = (second + phase) % SLOTS;
    return {
        endpoint_id: name,
        sequence: Math.floor(Date.now() / REPORT_INTERVAL_MS),
        queued_prefill_tokens: runningRequests * TOKENS_PER_REQUEST,
        running_requests: runningRequests,
        slots: SLOTS,
        memory_used_tokens: runningRequests * TOKENS_PER_REQUEST,
        memory_total_tokens: 400_000,
        models: [{ name: "pond-8b", version: "1" }],
        role: "mixed",
        lending: "lent",
        highest_fence: 0,
        cache_sequence: 0,
    };
}
