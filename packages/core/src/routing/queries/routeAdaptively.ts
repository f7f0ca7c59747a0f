import type { EndpointView } from "../../beliefs/model/endpointView.js";
import { isLongClass } from "../../model/lengthClass.js";
import { generateFractions } from "../../model/randomState.js";
import type { RoutingDecision, RoutingInput } from "../model/routing.js";
import { refuseRoute, sendRoute, splitRoute, waitForRoom } from "./buildDecision.js";
import { estimateFirstToken } from "./estimateFirstToken.js";
import { getEnginePriority, getGangPriority } from "./getEnginePriority.js";
import { isAvailable, listCandidates } from "./listCandidates.js";
import { scoreLane } from "./scoreLane.js";

const CONSIDERED_LIMIT = 5;
const SAMPLING_MIN_CANDIDATES = 256;
/** One in so many endpoints of other failure domains is looked at. */
const REMOTE_SAMPLE_STRIDE = 4;
/** Cost of using an endpoint that a pending gang waits for. */
const WITHHELD_PENALTY_MS = 500;
/** Part of an endpoint's memory that long prompts leave free, so that a short one never waits for memory. */
const SHORT_MEMORY_RESERVE = 0.1;

interface Scored {
    readonly view: EndpointView;
    readonly score: number;
}

/** The policy of the product: least expected time to first token, with costs for using what others need more. */
export function routeAdaptively(input: RoutingInput): RoutingDecision {
    const sampled = listNearEqual(input, sampleCandidates(input));
    const nearEqual = sampled.length > 0 ? sampled : listNearEqual(input, input.candidates);
    if (nearEqual.length === 0) {
        const candidates = listCandidates(input);
        if (candidates.fitting.length === 0) {
            return refuseRoute(input, candidates, getGangPriority(input.request));
        }
        return input.request.lengthClass === "huge"
            ? splitRoute(input, getGangPriority(input.request))
            : waitForRoom(input, candidates);
    }
    const { chosen, random } = chooseNearEqual(input, nearEqual);
    return sendRoute(input, {
        view: chosen.view,
        considered: nearEqual.slice(0, CONSIDERED_LIMIT).map(({ view, score }) => ({
            endpoint: view.endpoint,
            score: Math.round(score),
        })),
        enginePriority: getEnginePriority(input.request, chosen.view),
        reason: "least expected first token",
        random,
    });
}

/** Endpoints with room whose scores are within `nearEqualMs` of the best one. Empty if all are full or unsuitable. */
function listNearEqual(input: RoutingInput, candidates: readonly EndpointView[]): Scored[] {
    const contenders: Scored[] = [];
    let limit = Infinity;
    for (const view of candidates) {
        const score = scoreEndpoint(input, view, limit);
        if (score <= limit && score < Infinity) {
            contenders.push({ view, score });
            limit = Math.min(limit, score + input.settings.nearEqualMs);
        }
    }
    return contenders.filter(({ score }) => score <= limit);
}

/**
 * Endpoints to score first. In a large fleet a short or medium request looks at those of its own failure domain and at
 * a changing sample of the others, which it needs only when its own domain is busy.
 */
function sampleCandidates(input: RoutingInput): readonly EndpointView[] {
    const { candidates, failureDomain, now } = input;
    if (candidates.length <= SAMPLING_MIN_CANDIDATES || isLongClass(input.request.lengthClass)) {
        return candidates;
    }
    const sample: EndpointView[] = [];
    let position = Math.floor(now);
    for (const view of candidates) {
        position += 1;
        if (view.failureDomain === failureDomain || position % REMOTE_SAMPLE_STRIDE === 0) {
            sample.push(view);
        }
    }
    return sample;
}

/**
 * Expected first token plus the costs of using the endpoint, in milliseconds. `Infinity` if it is above `limit` or the
 * endpoint cannot take the request. The numbers come first: they rule out most of the endpoints without a look-up.
 */
function scoreEndpoint(input: RoutingInput, view: EndpointView, limit: number): number {
    const { request, settings, withheld } = input;
    const withoutLookups = estimateFirstToken(input, view)
        + (view.poolOwner === request.workspace ? 0 : settings.borrowedPenaltyMs)
        + (view.failureDomain === input.failureDomain ? 0 : settings.remotePenaltyMs);
    if (withoutLookups > limit || !hasRoom(input, view)) {
        return Infinity;
    }
    const isWithheld = withheld.size > 0 && withheld.has(view.endpoint);
    const score = withoutLookups + scoreLane(input, view) + (isWithheld ? WITHHELD_PENALTY_MS : 0);
    return score <= limit && isAvailable(view, request.model, input.now) ? score : Infinity;
}

/** Whether the endpoint has a free slot and enough free memory, as far as the host knows. */
function hasRoom(input: RoutingInput, view: EndpointView): boolean {
    const { request } = input;
    const free = view.freeMemoryTokens - request.promptTokens - request.maxTokens;
    const isEmpty = view.freeMemoryTokens >= view.memoryTokens;
    const reserve = isEmpty || !isLongClass(request.lengthClass) ? 0 : view.memoryTokens * SHORT_MEMORY_RESERVE;
    return free >= reserve && view.freeSlots > 0;
}

/** Power of two choices among near-equal endpoints, so that hosts with the same report do not all pick the same one. */
function chooseNearEqual(
    input: RoutingInput,
    nearEqual: readonly Scored[],
): { chosen: Scored; random: RoutingInput["random"]; } {
    const { values, next } = generateFractions(input.random, 2);
    const [first, second] = values.map(value => nearEqual[Math.floor(value * nearEqual.length)]);
    if (first === undefined || second === undefined) {
        throw new RangeError("no endpoint to choose from");
    }
    return { chosen: first.score <= second.score ? first : second, random: next };
}
