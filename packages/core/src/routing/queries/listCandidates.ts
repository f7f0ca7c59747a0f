import type { EndpointView } from "../../endpoints/model/endpointView.js";
import type { RoutingInput } from "../model/routing.js";

/** Whether an endpoint may get new work for a model now. */
export function isAvailable(view: EndpointView, model: string, now: number): boolean {
    return view.usable && view.reachable && view.suspectUntilMs <= now && view.models.has(model);
}

export interface CandidateList {
    /** Endpoints that serve the model now and whose total memory is enough for the request. */
    readonly fitting: readonly EndpointView[];
    /** Number of endpoints that serve the model now. */
    readonly available: number;
}

/** Lists the endpoints that could serve the request, whether they have free capacity now or not. */
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
