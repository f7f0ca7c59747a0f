/** Orders of the control plane: load or unload a model, load an adapter, set the engine's role. */
import { requestJson } from "@currantrill/http";
import type { EngineOrder } from "@currantrill/protocol";
import { waitUntilUnfrozen } from "../../model/faultState.js";
import { recordEntry } from "../../model/ledgerState.js";
import type { EngineState } from "../model/engineState.js";

const FETCH_TIMEOUT_MS = 30_000;

/** HTTP status and body of the response to an order. */
export interface OrderResponse {
    readonly status: number;
    readonly body: unknown;
}

/**
 * Accepts an order, or refuses it if its fencing token is lower than the highest one seen. A load continues after the
 * response, and the load report lists the model when the load is complete. A fetch that the weight store refuses is not
 * retried: the model stays unloaded until the next order.
 */
export function acceptOrder(state: EngineState, order: EngineOrder): OrderResponse {
    if (state.settings.checksFencing && order.fence < state.highestFence) {
        recordOrder(state, order, "refused: old fence");
        return { status: 409, body: { error: "old fence", highest_fence: state.highestFence } };
    }
    state.highestFence = Math.max(state.highestFence, order.fence);
    recordOrder(state, order, "accepted");
    void orderHandlers[order.action](state, order);
    return { status: 202, body: { accepted: true } };
}

type OrderHandler = (state: EngineState, order: EngineOrder) => void | Promise<void>;

const orderHandlers: Record<EngineOrder["action"], OrderHandler> = {
    load_model: (state, order) => loadModel(state, order, order.model ?? ""),
    unload_model: (state, order) => {
        state.models.delete(order.model ?? "");
        recordOrder(state, order, "unloaded");
    },
    // The load report lists an adapter as `<model>/<adapter>`.
    load_adapter: (state, order) => loadModel(state, order, `${order.model ?? ""}/${order.adapter ?? ""}`),
    set_role: (state, order) => {
        state.role = order.role ?? state.role;
    },
};

async function loadModel(state: EngineState, order: EngineOrder, name: string): Promise<void> {
    const version = order.version ?? "1";
    const fetchError = await fetchWeights(state.settings.weightStoreUrl, name, version);
    if (fetchError !== undefined) {
        recordOrder(state, order, `failed: ${fetchError}`);
        return;
    }
    await new Promise(resolve => setTimeout(resolve, state.settings.loadMs));
    await waitUntilUnfrozen(state.faults);
    state.models.set(name, version);
    recordOrder(state, order, "loaded");
}

/** Fetches the weights of a model. Resolves to a description of the failure, or to `undefined` on success. */
async function fetchWeights(weightStoreUrl: string, name: string, version: string): Promise<string | undefined> {
    if (weightStoreUrl === "") {
        return undefined;
    }
    const url = `${weightStoreUrl}/v1/weights/${encodeURIComponent(name)}/${encodeURIComponent(version)}`;
    const response = await requestJson(url, { timeoutMs: FETCH_TIMEOUT_MS }).catch(() => undefined);
    return response?.status === 200 ? undefined : `weight store answered ${response?.status ?? "nothing"}`;
}

function recordOrder(state: EngineState, order: EngineOrder, outcome: string): void {
    const subject = order.role ?? [order.model, order.adapter].filter(name => name !== undefined).join("/");
    const action = `order ${order.action} ${subject}@${order.version ?? ""} fence ${order.fence}`;
    recordEntry(state.ledger, { requestId: "", attemptId: "", action, outcome });
}
