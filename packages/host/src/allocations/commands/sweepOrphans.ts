/** Releases orphaned memory on engines: memory whose owner has left the membership or no longer runs the attempt. */
import {
    createSweepState,
    handleOwnerAnswer,
    sweepAllocations,
    type SweepEffect,
    type SweepState,
} from "@currantrill/core";
import { requestJson } from "@currantrill/http";
import { type AllocationId, type EndpointId, heldAllocationSchema } from "@currantrill/protocol";
import { z } from "zod";
import type { HostContext } from "../../model/hostContext.js";

const SWEEP_INTERVAL_MS = 5_000;
const REQUEST_TIMEOUT_MS = 1_000;

const allocationListSchema = z.object({ allocations: z.array(heldAllocationSchema) });

/** Starts to sweep the endpoints that this host monitors every 5 s, until the returned timer is cleared. */
export function startSweeper(context: HostContext): NodeJS.Timeout {
    const states = new Map<EndpointId, SweepState>();
    return setInterval(() => {
        for (const endpoint of context.allocationOwners.listSweptEndpoints()) {
            sweepEndpoint(context, states, endpoint).catch((error: unknown) =>
                context.log.debug({ err: error, endpoint }, "allocations: orphan sweep of endpoint failed")
            );
        }
    }, SWEEP_INTERVAL_MS);
}

/**
 * Sweeps one endpoint once: lists its allocations, queries their owners and releases the orphans. `states` keeps the
 * sweep state of each endpoint between calls. Rejects if the endpoint sends no valid listing, or does not answer a
 * release.
 */
export async function sweepEndpoint(
    context: HostContext,
    states: Map<EndpointId, SweepState>,
    endpoint: EndpointId,
): Promise<void> {
    const connections = context.clients.get(context.endpointStates.getUrl(endpoint));
    const response = await requestJson(`${connections.origin}/v1/allocations`, {
        timeoutMs: REQUEST_TIMEOUT_MS,
        dispatcher: connections.getDispatcher(),
    });
    const held = allocationListSchema.parse(response.body).allocations;
    const members = context.allocationOwners.listIncarnations();
    const step = sweepAllocations(states.get(endpoint) ?? createSweepState(), { held, members }, performance.now());
    states.set(endpoint, step.state);
    await runEffects(context, states, endpoint, step.effects);
}

/** Carries out effects one by one, with those that follow from an owner's answer. Skips an owner without answer. */
async function runEffects(
    context: HostContext,
    states: Map<EndpointId, SweepState>,
    endpoint: EndpointId,
    effects: readonly SweepEffect[],
): Promise<void> {
    for (const effect of effects) {
        if (effect.type === "release") {
            await releaseOrphan(context, endpoint, effect.allocation);
            continue;
        }
        const alive = await context.allocationOwners.queryOwner(effect.incarnation, effect.attempts);
        const state = states.get(endpoint);
        if (alive === undefined || state === undefined) {
            continue;
        }
        const step = handleOwnerAnswer(state, { id: effect.queryId, incarnation: effect.incarnation, alive });
        states.set(endpoint, step.state);
        await runEffects(context, states, endpoint, step.effects);
    }
}

async function releaseOrphan(context: HostContext, endpoint: EndpointId, allocation: AllocationId): Promise<void> {
    const connections = context.clients.get(context.endpointStates.getUrl(endpoint));
    await requestJson(`${connections.origin}/v1/allocations/${encodeURIComponent(allocation)}`, {
        method: "DELETE",
        timeoutMs: REQUEST_TIMEOUT_MS,
        dispatcher: connections.getDispatcher(),
    });
    context.log.info({ endpoint, allocation }, "allocations: orphaned allocation released");
}
