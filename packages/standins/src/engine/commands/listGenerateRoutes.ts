/** Routes that run, cancel and move prompts. */
import { type Route, sendJson } from "@currantrill/http";
import { type GenerateRequest, generateRequestSchema, kvStateSchema } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import { readBody } from "../../commands/readBody.js";
import { recordEntry } from "../../model/ledgerState.js";
import { expireAllocations } from "../model/engineMemory.js";
import type { EngineRequest, EngineState } from "../model/engineState.js";
import { matchPrefix } from "../model/prefixCache.js";
import { findGangFault, sumGangMemory } from "../queries/checkGang.js";
import { endRequest } from "./endRequest.js";
import { startSteps } from "./stepEngine.js";

const MAX_CANCELLED = 10_000;
const attemptSchema = z.object({ attempt_id: z.string() });

export function listGenerateRoutes(state: EngineState): Route[] {
    return [
        {
            method: "POST",
            path: "/v1/generate",
            handle: readBody(generateRequestSchema, (body, response) => acceptRequest(state, body, response)),
        },
        {
            method: "POST",
            path: "/v1/cancel",
            handle: readBody(attemptSchema, ({ attempt_id }, response) => {
                sendJson(response, 200, { cancelled: cancelAttempt(state, attempt_id) });
            }),
        },
        {
            method: "POST",
            path: "/v1/kv/export",
            handle: readBody(attemptSchema, ({ attempt_id }, response) => exportKv(state, attempt_id, response)),
        },
        {
            method: "POST",
            path: "/v1/kv/import",
            handle: readBody(kvStateSchema, ({ request_id, tokens }, response) => {
                setTimeout(() => {
                    state.imported.set(request_id, tokens);
                    sendJson(response, 200, { tokens });
                }, getTransferMs(state, tokens));
            }),
        },
    ];
}

async function acceptRequest(state: EngineState, body: GenerateRequest, response: ServerResponse): Promise<void> {
    const refusal = findRefusal(state, body) ?? await findMemoryRefusal(state, body);
    if (refusal !== undefined) {
        sendJson(response, refusal.status, { error: refusal.error });
        return;
    }
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    recordEntry(state.ledger, {
        requestId: body.request_id,
        attemptId: body.attempt_id,
        action: "generate",
        outcome: "started",
    });
    const request = createRequest(state, body, response);
    state.waiting.push(request);
    response.once("close", () => cancelRequest(state, request));
    if (body.members.length > 0) {
        watchMembers(state, request);
    }
    startSteps(state);
}

interface Refusal {
    readonly status: number;
    readonly error: string;
}

function findRefusal(state: EngineState, body: GenerateRequest): Refusal | undefined {
    if (state.cancelled.has(body.attempt_id)) {
        return { status: 409, error: "cancelled before it arrived" };
    }
    if (!state.models.has(body.model)) {
        return { status: 404, error: `model ${body.model} is not loaded` };
    }
    return undefined;
}

/** The prompt and its answer have to fit into the engine's memory, or into the allocations of the gang. */
async function findMemoryRefusal(state: EngineState, body: GenerateRequest): Promise<Refusal | undefined> {
    const needed = body.prompt_tokens + body.max_tokens;
    if (body.allocation_id === undefined) {
        return needed > state.memory.totalTokens
            ? { status: 413, error: `needs ${needed} tokens of memory, the engine has ${state.memory.totalTokens}` }
            : undefined;
    }
    expireAllocations(state.memory);
    const own = state.memory.allocations.get(body.allocation_id);
    if (own === undefined) {
        return { status: 409, error: `allocation ${body.allocation_id} is not held` };
    }
    const members = await sumGangMemory(body.members);
    if (typeof members === "string") {
        return { status: 409, error: members };
    }
    return needed > own.tokens + members
        ? { status: 409, error: `needs ${needed} tokens of memory, the allocations hold ${own.tokens + members}` }
        : undefined;
}

function createRequest(state: EngineState, body: GenerateRequest, response: ServerResponse): EngineRequest {
    state.arrivals += 1;
    const imported = state.imported.get(body.request_id) ?? 0;
    state.imported.delete(body.request_id);
    const cached = matchPrefix(state.cache, body.prefix_hashes, body.prompt_tokens);
    return {
        body,
        response,
        arrival: state.arrivals,
        prefillTotal: body.prompt_tokens + body.resume_from,
        // The last prompt token is always computed, because the first answer token comes from it.
        prefillDone: Math.min(Math.max(imported, cached), body.prompt_tokens - 1),
        nextIndex: body.resume_from,
    };
}

/** Fails the request as soon as a member of its gang no longer holds the memory. */
function watchMembers(state: EngineState, request: EngineRequest): void {
    const timer = setInterval(() => {
        void findGangFault(request.body.members).then(fault => {
            if (fault !== undefined) {
                endRequest(state, request, "failed: member gone");
                startSteps(state);
            }
        });
    }, state.settings.memberCheckMs);
    request.response.once("close", () => clearInterval(timer));
}

function cancelAttempt(state: EngineState, attemptId: string): boolean {
    state.cancelled.add(attemptId);
    if (state.cancelled.size > MAX_CANCELLED) {
        state.cancelled.delete(state.cancelled.values().next().value ?? "");
    }
    const request = findRequest(state, attemptId);
    if (request === undefined) {
        return false;
    }
    cancelRequest(state, request);
    return true;
}

function cancelRequest(state: EngineState, request: EngineRequest): void {
    endRequest(state, request, "cancelled");
    startSteps(state);
}

const findRequest = (state: EngineState, attemptId: string): EngineRequest | undefined =>
    [...state.running, ...state.waiting].find(({ body }) => body.attempt_id === attemptId);

function exportKv(state: EngineState, attemptId: string, response: ServerResponse): void {
    const request = findRequest(state, attemptId);
    if (request === undefined) {
        sendJson(response, 404, { error: `attempt ${attemptId} is not running` });
        return;
    }
    const { request_id, model, prompt_tokens } = request.body;
    const tokens = Math.min(request.prefillDone, prompt_tokens);
    setTimeout(() => sendJson(response, 200, { request_id, model, tokens }), getTransferMs(state, tokens));
}

const getTransferMs = (state: EngineState, tokens: number): number => 1_000 * tokens / state.settings.kvTokensPerSecond;
