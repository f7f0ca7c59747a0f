import type { EndpointView } from "../../beliefs/model/endpointView.js";
import type { RoutingInput } from "../model/routing.js";

/** Whether a view may get new work of a model now. */
export function isAvailable(view: EndpointView, model: string, now: number): boolean {
    return view.usable && view.reachable && view.suspectUntilMs <= now && view.models.has(model);
}

export interface CandidateList {
    /** Endpoints that serve the model now and have enough memory for the request. */
    readonly fitting: readonly EndpointView[];
    /** Endpoints that serve the model now. */
    readonly available: number;
}

/** Selects the endpoints that can take the request. */
export function listCandidates(input: RoutingInput): CandidateList {
    const needed = input.request.promptTokens + input.request.maxTokens;
    const fitting: EndpointView[] = [];
    let available = 0;
    for (const view of input.candidates) {
        if (!isAvailable(view, input.request.model, input.now)) {
            continue;
        }
        available += 1;
        if (needed <= view.memoryTokens) {
            fitting.push(view);
        }
    }
    return { fitting, available };
}
