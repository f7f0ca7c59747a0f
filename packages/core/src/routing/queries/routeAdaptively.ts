import type { EndpointView } from "../../beliefs/model/endpointView.js";
import { isLongClass } from "../../model/lengthClass.js";
import { generateFractions } from "../../model/randomState.js";
import type { RoutingDecision, RoutingInput } from "../model/routing.js";
import { refuseRoute, sendRoute } from "./buildDecision.js";
import { estimateFirstToken } from "./estimateFirstToken.js";
import { getEnginePriority } from "./getEnginePriority.js";
import { listCandidates } from "./listCandidates.js";

const CONSIDERED_LIMIT = 5;
/** Cost of using an endpoint that a pending gang waits for. */
const WITHHELD_PENALTY_MS = 500;
/** Cost of waiting for memory or a slot, when none is free by the last report. */
const FULL_PENALTY_MS = 2_000;

/** The policy of the product: least expected time to first token, with costs for using what others need more. */
export function routeAdaptively(input: RoutingInput): RoutingDecision {
    const candidates = listCandidates(input);
    const scores = new Float64Array(candidates.fitting.length);
    let best = Infinity;
    candidates.fitting.forEach((view, position) => {
        const score = scoreEndpoint(input, view);
        scores[position] = score;
        best = Math.min(best, score);
    });
    const nearEqual = candidates.fitting.filter((_view, position) =>
        (scores[position] ?? Infinity) <= best + input.settings.nearEqualMs
    );
    const { view, random } = chooseNearEqual(input, nearEqual);
    if (view === undefined) {
        return refuseRoute(input, candidates);
    }
    const considered = nearEqual.slice(0, CONSIDERED_LIMIT).map(entry => ({
        endpoint: entry.endpoint,
        score: Math.round(scoreEndpoint(input, entry)),
    }));
    const enginePriority = getEnginePriority(input.request, view);
    return sendRoute(input, candidates, {
        view,
        considered,
        enginePriority,
        reason: "least expected first token",
        random,
    });
}

/** Expected first token plus the costs of using the endpoint, in milliseconds. */
export function scoreEndpoint(input: RoutingInput, view: EndpointView): number {
    return estimateFirstToken(input, view)
        + scoreLane(input, view)
        + scoreRoom(input, view)
        + (view.poolOwner === input.request.workspace ? 0 : input.settings.borrowedPenaltyMs)
        + (view.failureDomain === input.failureDomain ? 0 : input.settings.remotePenaltyMs)
        + (input.withheld.has(view.endpoint) ? WITHHELD_PENALTY_MS : 0);
}

/** Cost of crossing lanes: long work on the lane of short requests, or short requests behind long prefills. */
function scoreLane(input: RoutingInput, view: EndpointView): number {
    const isLongLane = input.lanes.longLane.has(view.endpoint);
    if (isLongClass(input.request.lengthClass) === isLongLane) {
        return 0;
    }
    const weight = input.settings.shortRequestWeight;
    return isLongLane ? 100 + 200 * weight : 2_000 + 20_000 * weight;
}

function scoreRoom(input: RoutingInput, view: EndpointView): number {
    const memory = view.report.memoryUsedTokens + view.ownLoad.memoryTokensSinceReport
        + input.request.promptTokens + input.request.maxTokens;
    const running = view.report.runningRequests + view.ownLoad.requestsSinceReport;
    return memory > view.memoryTokens || running >= view.slots ? FULL_PENALTY_MS : 0;
}

/** Power of two choices among near-equal endpoints, so that hosts with the same report do not all pick the same one. */
function chooseNearEqual(
    input: RoutingInput,
    views: readonly EndpointView[],
): { view: EndpointView | undefined; random: RoutingInput["random"]; } {
    if (views.length < 2) {
        return { view: views[0], random: input.random };
    }
    const { values, next } = generateFractions(input.random, 2);
    const [first, second] = values.map(value => views[Math.floor(value * views.length)]);
    if (first === undefined || second === undefined) {
        return { view: views[0], random: next };
    }
    return { view: scoreEndpoint(input, first) <= scoreEndpoint(input, second) ? first : second, random: next };
}
