import type { EndpointView } from "../../endpoints/model/endpointView.js";
import type { RoutingDecision, RoutingInput } from "../model/routing.js";
import { buildNoFitDecision, buildSendDecision } from "./buildDecision.js";
import { getRequestPriority } from "./getEnginePriority.js";
import { listCandidates } from "./listCandidates.js";

/** Baseline policy: the endpoint with the least queued prefill work in its last load report. */
export function routeToLeastLoaded(input: RoutingInput): RoutingDecision {
    const candidates = listCandidates(input);
    const [first, ...others] = candidates.fitting;
    if (first === undefined) {
        return buildNoFitDecision(input, candidates, getRequestPriority(input.request));
    }
    const best = others.reduce((least, view) => isLessLoaded(view, least) ? view : least, first);
    return buildSendDecision(input, {
        view: best,
        considered: [],
        enginePriority: getRequestPriority(input.request),
        reason: "least loaded",
        random: input.random,
    });
}

function isLessLoaded(view: EndpointView, other: EndpointView): boolean {
    const difference = view.report.queuedPrefillTokens - other.report.queuedPrefillTokens;
    return difference === 0 ? view.report.runningRequests < other.report.runningRequests : difference < 0;
}
