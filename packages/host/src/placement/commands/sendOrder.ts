import { canOrder, type EndpointObject, type HeldLease } from "@currantrill/core";
import { requestJson } from "@currantrill/http";
import type { EngineOrder } from "@currantrill/protocol";
import { readClocks } from "../../configuration/model/configurationHolder.js";
import type { HostContext } from "../../model/hostContext.js";
import type { PlacementState } from "../model/placementState.js";
import { takeLease } from "./takeLease.js";

/** Below the longest send that a new lease holder waits out. */
const ORDER_TIMEOUT_MS = 3_000;
const OLD_FENCE = 409;

/** Sends an order under the endpoint's lease. Does nothing while another host may hold the lease. */
export async function sendOrder(
    context: HostContext,
    state: PlacementState,
    endpoint: EndpointObject,
    order: Omit<EngineOrder, "fence">,
): Promise<void> {
    if (state.busy.has(endpoint.name)) {
        return;
    }
    state.busy.add(endpoint.name);
    try {
        const lease = await getLease(context, state, endpoint);
        // Checked again after every wait: the process may have been paused for longer than the lease.
        if (lease !== undefined && canOrder(lease, readClocks())) {
            await requestOrder(context, state, endpoint, { ...order, fence: lease.token });
        }
    }
    catch (error) {
        context.log.warn({ err: error, endpoint: endpoint.name, order }, "placement: order not sent");
    }
    finally {
        state.busy.delete(endpoint.name);
    }
}

async function getLease(
    context: HostContext,
    state: PlacementState,
    { name }: EndpointObject,
): Promise<HeldLease | undefined> {
    const held = state.held.get(name);
    if (held !== undefined && canOrder(held, readClocks())) {
        return held;
    }
    const taken = await takeLease(context, state, name);
    if (taken === undefined) {
        state.held.delete(name);
        return undefined;
    }
    state.held.set(name, taken);
    return taken;
}

async function requestOrder(
    context: HostContext,
    state: PlacementState,
    endpoint: EndpointObject,
    order: EngineOrder,
): Promise<void> {
    const response = await requestJson(`${endpoint.url}/v1/orders`, {
        method: "POST",
        body: order,
        timeoutMs: ORDER_TIMEOUT_MS,
    });
    context.log.info({ endpoint: endpoint.name, order, status: response.status }, "placement: order sent");
    if (response.status === OLD_FENCE) {
        state.held.delete(endpoint.name);
    }
}
