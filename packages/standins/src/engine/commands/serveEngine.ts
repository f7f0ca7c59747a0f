/** Simulates a model engine with continuous batching, KV memory, a prefix cache and model loading. */
import { type Route, sendJson } from "@currantrill/http";
import { engineOrderSchema, type Ledger, ownerLendingSchema } from "@currantrill/protocol";
import { type RunningStandin, serveStandin } from "../../commands/serveStandin.js";
import { validateBody } from "../../commands/validateBody.js";
import { recordEntry } from "../../model/ledgerState.js";
import { listAllocations } from "../model/engineMemory.js";
import { defaultEngineOptions, type EngineStandinOptions } from "../model/engineOptions.js";
import { createEngineState, type EngineState } from "../model/engineState.js";
import { listCacheEvents } from "../model/prefixCache.js";
import { buildReport } from "../queries/buildReport.js";
import { acceptOrder } from "./acceptOrder.js";
import { listAllocationRoutes } from "./listAllocationRoutes.js";
import { listGenerateRoutes } from "./listGenerateRoutes.js";

/** Starts the engine stand-in. It builds a load report at the start and once per report interval. */
export async function serveEngine(options: EngineStandinOptions): Promise<RunningStandin> {
    const settings = { ...defaultEngineOptions, ...options };
    const state = createEngineState(settings);
    publishReport(state);
    setInterval(() => publishReport(state), settings.reportIntervalMs).unref();
    return serveStandin({
        host: settings.host,
        port: settings.port,
        faults: state.faults,
        readLedger: () => buildEngineLedger(state),
        routes: [...listGenerateRoutes(state), ...listAllocationRoutes(state), ...listControlRoutes(state)],
    });
}

function publishReport(state: EngineState): void {
    state.reportSequence += 1;
    state.report = buildReport(state);
}

function buildEngineLedger(state: EngineState): Ledger {
    const held = listAllocations(state.memory).map(({ allocation_id, tokens, request_id }) => ({
        allocationId: allocation_id,
        tokens,
        requestId: request_id,
    }));
    return { entries: state.ledger.entries, held };
}

/** Lists the routes for load reports, cache events, orders of the control plane and the owner's lending setting. */
function listControlRoutes(state: EngineState): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/report",
            handle: (_request, response) => sendJson(response, 200, state.report),
        },
        {
            method: "GET",
            path: "/v1/cache/events",
            handle: (request, response) => {
                const after = Number(new URLSearchParams(request.search).get("after") ?? "0");
                const events = listCacheEvents(state.cache, after, state.settings.cacheEventDelayMs);
                sendJson(response, 200, { events });
            },
        },
        {
            method: "POST",
            path: "/v1/orders",
            handle: validateBody(engineOrderSchema, (order, response) => {
                const answer = acceptOrder(state, order);
                sendJson(response, answer.status, answer.body);
            }),
        },
        {
            method: "PUT",
            path: "/owner/lending",
            handle: validateBody(ownerLendingSchema, ({ lending }, response) => {
                state.lending = lending;
                recordEntry(state.ledger, { requestId: "", attemptId: "", action: "owner", outcome: lending });
                sendJson(response, 200, { lending });
            }),
        },
    ];
}
