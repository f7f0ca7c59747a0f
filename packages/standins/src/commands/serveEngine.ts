/** Stand-in of a model engine. */
import { type Route, sendJson } from "@currantrill/http";
import {
    allocationRequestSchema,
    type EngineReport,
    type GenerateRequest,
    generateRequestSchema,
    STREAM_TERMINATOR,
} from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { createLedgerState, type LedgerState, recordEntry } from "../model/ledgerState.js";
import { type RunningStandin, serveStandin } from "./serveStandin.js";

export interface EngineStandinOptions {
    readonly endpointId: string;
    readonly host?: string;
    readonly port?: number;
    readonly models?: readonly { name: string; version: string; }[];
    readonly memoryTokens?: number;
    readonly slots?: number;
    readonly prefillTokensPerSecond?: number;
    readonly decodeTokensPerSecond?: number;
    readonly checksFencing?: boolean;
}

const defaultOptions = {
    host: "127.0.0.1",
    port: 0,
    models: [],
    memoryTokens: 400_000,
    slots: 16,
    prefillTokensPerSecond: 500_000,
    decodeTokensPerSecond: 200,
    checksFencing: true,
} satisfies Partial<EngineStandinOptions>;

type EngineSettings = Required<EngineStandinOptions>;

interface EngineState {
    readonly settings: EngineSettings;
    readonly ledger: LedgerState;
    readonly cancelled: Set<string>;
    running: number;
    sequence: number;
}

/** Starts the stand-in. */
export async function serveEngine(options: EngineStandinOptions): Promise<RunningStandin> {
    const settings: EngineSettings = { ...defaultOptions, ...options };
    const state: EngineState = { settings, ledger: createLedgerState(), cancelled: new Set(), running: 0, sequence: 0 };
    return serveStandin({
        host: settings.host,
        port: settings.port,
        readLedger: () => state.ledger,
        routes: [
            ...listGenerateRoutes(state),
            ...listAllocationRoutes(state),
            {
                method: "GET",
                path: "/v1/report",
                handle: (_request, response) => sendJson(response, 200, buildReport(state)),
            },
        ],
    });
}

function buildReport(state: EngineState): EngineReport {
    state.sequence += 1;
    return {
        endpoint_id: state.settings.endpointId,
        sequence: state.sequence,
        queued_prefill_tokens: 0,
        running_requests: state.running,
        slots: state.settings.slots,
        memory_used_tokens: sumHeld(state),
        memory_total_tokens: state.settings.memoryTokens,
        models: [...state.settings.models],
        role: "mixed",
        lending: "lent",
        highest_fence: 0,
        cache_sequence: 0,
    };
}

const sumHeld = (state: EngineState): number => state.ledger.held.reduce((sum, held) => sum + held.tokens, 0);

function listGenerateRoutes(state: EngineState): Route[] {
    return [
        {
            method: "POST",
            path: "/v1/generate",
            handle: (request, response) => {
                const parsed = generateRequestSchema.safeParse(request.body);
                if (!parsed.success) {
                    sendJson(response, 400, { error: parsed.error.message });
                    return;
                }
                void streamTokens(state, parsed.data, response);
            },
        },
        {
            method: "POST",
            path: "/v1/cancel",
            handle: (request, response) => {
                const body = request.body as { attempt_id?: string; };
                state.cancelled.add(body.attempt_id ?? "");
                sendJson(response, 200, {});
            },
        },
    ];
}

async function streamTokens(state: EngineState, request: GenerateRequest, response: ServerResponse): Promise<void> {
    const entry = { requestId: request.request_id, attemptId: request.attempt_id, action: "generate" };
    state.running += 1;
    response.writeHead(200, { "content-type": "text/event-stream" });
    await waitMs(
        1_000 * request.prompt_tokens / (state.settings.prefillTokensPerSecond * (1 + request.members.length)),
    );
    for (let index = request.resume_from; index < request.max_tokens; index += 1) {
        if (state.cancelled.has(request.attempt_id) || response.destroyed) {
            state.running -= 1;
            recordEntry(state.ledger, { ...entry, outcome: "cancelled" });
            response.end();
            return;
        }
        response.write(`data: ${JSON.stringify({ index, text: formatToken(request, index) })}\n\n`);
        await waitMs(1_000 / state.settings.decodeTokensPerSecond);
    }
    state.running -= 1;
    recordEntry(state.ledger, { ...entry, outcome: "finished" });
    response.end(`data: ${STREAM_TERMINATOR}\n\n`);
}

/** Text of a token. It depends on the request alone, so that every engine gives the same answer. */
const formatToken = (request: GenerateRequest, index: number): string => `${request.request_id.slice(-4)}.${index} `;

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

function listAllocationRoutes(state: EngineState): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/allocations",
            handle: (_request, response) => sendJson(response, 200, { allocations: state.ledger.held }),
        },
        {
            method: "POST",
            path: "/v1/allocations",
            handle: (request, response) => {
                const parsed = allocationRequestSchema.safeParse(request.body);
                if (!parsed.success) {
                    sendJson(response, 400, { error: parsed.error.message });
                    return;
                }
                const { allocation_id, request_id, tokens } = parsed.data;
                if (sumHeld(state) + tokens > state.settings.memoryTokens) {
                    sendJson(response, 409, { error: "memory" });
                    return;
                }
                state.ledger.held.push({ allocationId: allocation_id, requestId: request_id, tokens });
                sendJson(response, 201, {});
            },
        },
        {
            method: "DELETE",
            path: "/v1/allocations/:id",
            handle: (request, response) => {
                state.ledger.held = state.ledger.held.filter(held => held.allocationId !== request.params["id"]);
                sendJson(response, 200, {});
            },
        },
    ];
}
