/** One server in the place of many engines, whose load changes all the time. */
import { type RunningServer, sendJson, serveHttp } from "@currantrill/http";
import type { EngineReport } from "@currantrill/protocol";

const SLOTS = 16;
const QUEUE_STEP_TOKENS = 3_000;
const REPORT_MS = 250;

/** Serves `/<name>/v1/report` for any name. The load of each engine moves in a cycle of 16 s. */
export function serveReports(): Promise<RunningServer> {
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
    const offset = Buffer.from(name).reduce((sum, byte) => sum + byte, 0);
    const second = Math.floor(Date.now() / 1_000);
    const running = (second + offset) % SLOTS;
    return {
        endpoint_id: name,
        sequence: Math.floor(Date.now() / REPORT_MS),
        queued_prefill_tokens: running * QUEUE_STEP_TOKENS,
        running_requests: running,
        slots: SLOTS,
        memory_used_tokens: running * QUEUE_STEP_TOKENS,
        memory_total_tokens: 400_000,
        models: [{ name: "pond-8b", version: "1" }],
        role: "mixed",
        lending: "lent",
        highest_fence: 0,
        cache_sequence: 0,
    };
}
