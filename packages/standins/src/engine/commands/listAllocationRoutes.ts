/** Engine routes that create, renew, release and list allocations of KV memory. */
import { type Route, sendJson } from "@currantrill/http";
import { allocationRequestSchema } from "@currantrill/protocol";
import { z } from "zod";
import { validateBody } from "../../commands/validateBody.js";
import {
    allocateMemory,
    type AllocationResult,
    getFreeTokens,
    listAllocations,
    releaseAllocation,
    renewAllocation,
} from "../model/engineMemory.js";
import type { EngineState } from "../model/engineState.js";
import { evictPrefixes } from "../model/prefixCache.js";
import { startStepLoop } from "./stepEngine.js";

const renewalSchema = z.object({ ttl_ms: z.number().int().min(1) });

/** HTTP status for each result of an allocation request. */
const statusByResult: Record<AllocationResult, number> = { created: 201, held: 200, released: 410, full: 409 };

export function listAllocationRoutes(state: EngineState): Route[] {
    return [
        {
            method: "GET",
            path: "/v1/allocations",
            handle: (_request, response) => sendJson(response, 200, { allocations: listAllocations(state.memory) }),
        },
        {
            method: "POST",
            path: "/v1/allocations",
            handle: validateBody(allocationRequestSchema, (body, response) => {
                const result = allocateMemory(state.memory, body);
                evictPrefixes(state.cache, getFreeTokens(state.memory));
                sendJson(response, statusByResult[result], { result, free_tokens: getFreeTokens(state.memory) });
            }),
        },
        {
            method: "POST",
            path: "/v1/allocations/:id/renew",
            handle: validateBody(renewalSchema, ({ ttl_ms }, response, request) => {
                const renewed = renewAllocation(state.memory, request.params["id"] ?? "", ttl_ms);
                sendJson(response, renewed ? 200 : 404, { renewed });
            }),
        },
        {
            method: "DELETE",
            path: "/v1/allocations/:id",
            handle: (request, response) => {
                const released = releaseAllocation(state.memory, request.params["id"] ?? "");
                startStepLoop(state);
                sendJson(response, 200, { released });
            },
        },
    ];
}
