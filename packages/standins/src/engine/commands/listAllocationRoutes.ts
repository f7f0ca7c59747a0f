/** Routes of the KV memory. */
import { type Route, sendJson } from "@currantrill/http";
import { allocationRequestSchema } from "@currantrill/protocol";
import { z } from "zod";
import { readBody } from "../../commands/readBody.js";
import {
    type AllocateResult,
    getFreeTokens,
    listAllocations,
    releaseAllocation,
    renewAllocation,
    reserveMemory,
} from "../model/engineMemory.js";
import type { EngineState } from "../model/engineState.js";
import { evictPrefixes } from "../model/prefixCache.js";
import { startSteps } from "./stepEngine.js";

const renewalSchema = z.object({ ttl_ms: z.number().int().min(1) });

const statuses: Record<AllocateResult, number> = { created: 201, held: 200, released: 410, full: 409 };

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
            handle: readBody(allocationRequestSchema, (body, response) => {
                const result = reserveMemory(state.memory, body);
                evictPrefixes(state.cache, getFreeTokens(state.memory));
                sendJson(response, statuses[result], { result, free_tokens: getFreeTokens(state.memory) });
            }),
        },
        {
            method: "POST",
            path: "/v1/allocations/:id/renew",
            handle: readBody(renewalSchema, ({ ttl_ms }, response, request) => {
                const renewed = renewAllocation(state.memory, request.params["id"] ?? "", ttl_ms);
                sendJson(response, renewed ? 200 : 404, { renewed });
            }),
        },
        {
            method: "DELETE",
            path: "/v1/allocations/:id",
            handle: (request, response) => {
                const released = releaseAllocation(state.memory, request.params["id"] ?? "");
                startSteps(state);
                sendJson(response, 200, { released });
            },
        },
    ];
}
