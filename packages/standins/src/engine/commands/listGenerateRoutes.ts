/** Engine routes that run and cancel prompts, and that transfer their KV cache between engines. */
import { type Route, sendJson } from "@currantrill/http";
import { type GenerateRequest, generateRequestSchema, kvStateSchema } from "@currantrill/protocol";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import { validateBody } from "../../commands/validateBody.js";
import { recordEntry } from "../../model/ledgerState.js";
import { expireAllocations } from "../model/engineMemory.js";
import type { EngineRequest, EngineState } from "../model/engineState.js";
import { matchPrefix } from "../model/prefixCache.js";
import { findMissingMemberAllocation, sumMemberTokens } from "../queries/checkGang.js";
import { endRequest } from "./endRequest.js";
import { startStepLoop } from "./stepEngine.js";

/** Limit of the cancelled attempt ids that the engine remembers; the oldest are removed first. */
const MAX_CANCELLED_ATTEMPTS = 10_000;
const attemptSchema = z.object({ attempt_id: z.string() });

/** Lists the routes for prompts and KV transfer. */
export function listGenerateRoutes(state: EngineState): Route[] {
    return [
        {
            method: "POST",
            path: "/v1/generate",
            handle: validateBody(generateRequestSchema, (body, response) => acceptRequest(state, body, response)),
        },
        {
            method: "POST",
            path: "/v1/cancel",
            handle: validateBody(attemptSchema, ({ attempt_id }, response) => {
                sendJson(response, 200, { cancelled: cancelAttempt(state, attempt_id) });
            }),
        },
        {
            method: "POST",
            path: "/v1/kv/export",
            handle: validateBody(attemptSchema, ({ attempt_id }, response) => exportKv(state, attempt_id, response)),
        },
        {
            method: "POST",
            path: "/v1/kv/import",
            handle: validateBody(kvStateSchema, ({ request_id, tokens }, response) => {
                setTimeout(() => {
                    state.importedTokens.set(request_id, tokens);
                    sendJson(response, 200, { tokens });
                }, getTransferMs(state, tokens));
            }),
        },
    ];
}

async function acceptRequest(state: EngineState, body: GenerateRequest, response: ServerResponse): Promise<void> {
    const rejection = findRejection(state, body) ?? await findMemoryRejection(state, body);
    if (rejection !== undefined) {
        sendJson(response, rejection.status, { error: rejection.error });
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
    state.pending.push(request);
    response.once("close", () => cancelRequest(state, request));
    if (body.members.length > 0) {
        monitorMembers(state, request);
    }
    startStepLoop(state);
}

/** Error response to a request that the engine does not run. */
interface RequestRejection {
    readonly status: number;
    readonly error: string;
}

function findRejection(state: EngineState, body: GenerateRequest): RequestRejection | undefined {
    if (state.cancelledAttempts.has(body.attempt_id)) {
        return { status: 409, error: "cancelled before it arrived" };
    }
    if (!state.models.has(body.model)) {
        return { status: 404, error: `model ${body.model} is not loaded` };
    }
    return undefined;
}

/**
 * Rejects a request whose prompt and answer together do not fit. Without an allocation they have to fit into the engine's
 * whole memory; with one, into the allocations of the lead engine and of the other gang members.
 */
async function findMemoryRejection(state: EngineState, body: GenerateRequest): Promise<RequestRejection | undefined> {
    const requiredTokens = body.prompt_tokens + body.max_tokens;
    if (body.allocation_id === undefined) {
        return requiredTokens > state.memory.totalTokens
            ? {
                status: 413,
                error: `needs ${requiredTokens} tokens of memory, the engine has ${state.memory.totalTokens}`,
            }
            : undefined;
    }
    expireAllocations(state.memory);
    const leadAllocation = state.memory.allocations.get(body.allocation_id);
    if (leadAllocation === undefined) {
        return { status: 409, error: `allocation ${body.allocation_id} is not held` };
    }
    const memberTokens = await sumMemberTokens(body.members);
    if (typeof memberTokens === "string") {
        return { status: 409, error: memberTokens };
    }
    return requiredTokens > leadAllocation.tokens + memberTokens
        ? {
            status: 409,
            error: `needs ${requiredTokens} tokens of memory, the allocations hold ${
                leadAllocation.tokens + memberTokens
            }`,
        }
        : undefined;
}

function createRequest(state: EngineState, body: GenerateRequest, response: ServerResponse): EngineRequest {
    state.arrivalCount += 1;
    const importedPromptTokens = state.importedTokens.get(body.request_id) ?? 0;
    state.importedTokens.delete(body.request_id);
    const cachedPromptTokens = matchPrefix(state.cache, body.prefix_hashes, body.prompt_tokens);
    return {
        body,
        response,
        arrivalNumber: state.arrivalCount,
        totalPrefillTokens: body.prompt_tokens + body.resume_from,
        // The last prompt token is always computed, because the first answer token is generated from it.
        completedPrefillTokens: Math.min(Math.max(importedPromptTokens, cachedPromptTokens), body.prompt_tokens - 1),
        nextTokenIndex: body.resume_from,
    };
}

/** Polls the other gang members, and ends the request as failed when one of them no longer holds its allocation. */
function monitorMembers(state: EngineState, request: EngineRequest): void {
    const timer = setInterval(() => {
        void findMissingMemberAllocation(request.body.members).then(missingAllocation => {
            if (missingAllocation !== undefined) {
                endRequest(state, request, "failed: member gone");
                startStepLoop(state);
            }
        });
    }, state.settings.memberCheckMs);
    request.response.once("close", () => clearInterval(timer));
}

/** Cancels an attempt and refuses it from now on. Returns whether it was pending or running. */
function cancelAttempt(state: EngineState, attemptId: string): boolean {
    state.cancelledAttempts.add(attemptId);
    if (state.cancelledAttempts.size > MAX_CANCELLED_ATTEMPTS) {
        state.cancelledAttempts.delete(state.cancelledAttempts.values().next().value ?? "");
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
    startStepLoop(state);
}

const findRequest = (state: EngineState, attemptId: string): EngineRequest | undefined =>
    [...state.running, ...state.pending].find(({ body }) => body.attempt_id === attemptId);

function exportKv(state: EngineState, attemptId: string, response: ServerResponse): void {
    const request = findRequest(state, attemptId);
    if (request === undefined) {
        sendJson(response, 404, { error: `attempt ${attemptId} is not running` });
        return;
    }
    const { request_id, model, prompt_tokens } = request.body;
    const tokens = Math.min(request.completedPrefillTokens, prompt_tokens);
    setTimeout(() => sendJson(response, 200, { request_id, model, tokens }), getTransferMs(state, tokens));
}

/** Duration of a simulated KV transfer, in milliseconds. */
const getTransferMs = (state: EngineState, tokens: number): number => 1_000 * tokens / state.settings.kvTokensPerSecond;
