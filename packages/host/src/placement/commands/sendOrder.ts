import { canSendOrder, type EndpointObject, type HeldLease } from "@currantrill/core";
import { requestJson } from "@currantrill/http";
import { readClocks } from "@currantrill/protocol";
import type { EngineOrder } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import type { PlacementState } from "../model/placementState.js";
import { acquireLease } from "./acquireLease.js";

/**
 * Shorter than `MAX_ORDER_TRANSIT_MS`, for which a new lease holder waits for orders of the previous holder to arrive.
 */
const ORDER_TIMEOUT_MS = 3_000;
/** HTTP status with which an engine rejects an order whose fencing token is too old. */
const STATUS_FENCE_REJECTED = 409;

/**
 * Sends an order with the fencing token of the endpoint's lease. Does nothing while another order for the endpoint is
 * in progress or another host may hold the lease. Failures are logged; a later round of placement repeats the order.
 */
export async function sendOrder(
    context: HostContext,
    state: PlacementState,
    endpoint: EndpointObject,
    order: Omit<EngineOrder, "fence">,
): Promise<void> {
    if (state.pendingOrders.has(endpoint.name)) {
        return;
    }
    state.pendingOrders.add(endpoint.name);
    try {
        const lease = await getLease(context, state, endpoint);
        // Checked again after the wait, because the process may have been paused for longer than the lease.
        if (lease !== undefined && canSendOrder(lease, readClocks())) {
            await sendOrderRequest(context, state, endpoint, { ...order, fence: lease.token });
        }
    }
    catch (error) {
        context.log.warn({ err: error, endpoint: endpoint.name, order }, "placement: order failed");
    }
    finally {
        state.pendingOrders.delete(endpoint.name);
    }
}

/** Returns the lease that this host holds, or acquires it. */
async function getLease(
    context: HostContext,
    state: PlacementState,
    { name }: EndpointObject,
): Promise<HeldLease | undefined> {
    const heldLease = state.heldLeases.get(name);
    if (heldLease !== undefined && canSendOrder(heldLease, readClocks())) {
        return heldLease;
    }
    const acquired = await acquireLease(context, state, name);
    if (acquired === undefined) {
        state.heldLeases.delete(name);
        return undefined;
    }
    state.heldLeases.set(name, acquired);
    return acquired;
}

/** Sends the order to the engine. Discards the lease if the engine rejects its fencing token. */
async function sendOrderRequest(
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
    if (response.status === STATUS_FENCE_REJECTED) {
        state.heldLeases.delete(endpoint.name);
    }
}
