import type { EndpointView } from "../../endpoints/model/endpointView.js";
import { isLongClass } from "../../model/lengthClass.js";
import { generateFractions } from "../../model/randomState.js";
import type { RoutingDecision, RoutingInput } from "../model/routing.js";
import { buildNoFitDecision, buildSendDecision, buildWaitDecision } from "./buildDecision.js";
import { estimateFirstToken } from "./estimateFirstToken.js";
import { getEnginePriority, getGangPriority } from "./getEnginePriority.js";
import { isAvailable, listCandidates } from "./listCandidates.js";
import { scoreLane } from "./scoreLane.js";

/** Largest number of scored endpoints in a decision. */
const CONSIDERED_LIMIT = 5;
/**
 * Longest expected queue of an engine to which a long prompt is sent. Beyond it, prompts stay in the host's queue,
 * where they can still be refused. A lower limit would leave engines idle while load reports lag.
 */
const MAX_ENGINE_QUEUE_MS = 2_000;
/** With more candidates than this, short and medium requests score only a sample of them. */
const SAMPLING_MIN_CANDIDATES = 256;
/** One in this many endpoints of remote failure domains is in the sample. */
const REMOTE_SAMPLE_STRIDE = 4;
/** Penalty for an endpoint that a pending gang needs. */
const WITHHELD_PENALTY_MS = 500;
/** Fraction of an endpoint's memory that long prompts leave free, so that a short one never waits for memory. */
const SHORT_MEMORY_RESERVE = 0.1;

interface ScoredView {
    readonly view: EndpointView;
    readonly score: number;
}

/**
 * The policy that hosts use: least expected time to first token, plus penalties for borrowed and remote endpoints, for
 * those that a pending gang needs and for the wrong lane.
 */
export function routeAdaptively(input: RoutingInput): RoutingDecision {
    const sampled = listBestScored(input, sampleCandidates(input));
    const bestScored = sampled.length > 0 ? sampled : listBestScored(input, input.candidates);
    if (bestScored.length === 0) {
        const candidates = listCandidates(input);
        if (candidates.fitting.length === 0) {
            return buildNoFitDecision(input, candidates, getGangPriority(input.request));
        }
        return buildWaitDecision(input, candidates);
    }
    const { chosen, random } = chooseBestScored(input, bestScored);
    return buildSendDecision(input, {
        view: chosen.view,
        considered: bestScored.slice(0, CONSIDERED_LIMIT).map(({ view, score }) => ({
            endpoint: view.endpoint,
            score: Math.round(score),
        })),
        enginePriority: getEnginePriority(input.request, chosen.view),
        reason: "least expected first token",
        random,
    });
}

/** Lists the endpoints with free capacity whose scores are within `scoreToleranceMs` of the best one; perhaps none. */
function listBestScored(input: RoutingInput, candidates: readonly EndpointView[]): ScoredView[] {
    const contenders: ScoredView[] = [];
    let limit = Infinity;
    for (const view of candidates) {
        const score = scoreEndpoint(input, view, limit);
        if (score <= limit && score < Infinity) {
            contenders.push({ view, score });
            limit = Math.min(limit, score + input.settings.scoreToleranceMs);
        }
    }
    return contenders.filter(({ score }) => score <= limit);
}

/**
 * Lists the endpoints to score first. In a large fleet a short or medium request considers those of the local failure
 * domain and a varying sample of the remote ones, which it needs only when the local domain is busy.
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
 * Scores an endpoint: expected time to first token plus penalties, in milliseconds. `Infinity` if the score is above
 * `limit` or the endpoint cannot take the request. The terms that need no set look-up come first, because they rule out
 * most endpoints.
 */
function scoreEndpoint(input: RoutingInput, view: EndpointView, limit: number): number {
    const { request, settings, withheld } = input;
    const baseScore = estimateFirstToken(input, view)
        + (view.poolOwner === request.workspace ? 0 : settings.borrowedPenaltyMs)
        + (view.failureDomain === input.failureDomain ? 0 : settings.remotePenaltyMs);
    if (baseScore > limit || !hasFreeCapacity(input, view)) {
        return Infinity;
    }
    const isWithheld = withheld.size > 0 && withheld.has(view.endpoint);
    const score = baseScore + scoreLane(input, view) + (isWithheld ? WITHHELD_PENALTY_MS : 0);
    return score <= limit && isAvailable(view, request.model, input.now) ? score : Infinity;
}

/** Whether the endpoint has a free slot, enough free memory and, for a long prompt, a short queue, as far as known. */
function hasFreeCapacity(input: RoutingInput, view: EndpointView): boolean {
    const { request } = input;
    const free = view.freeMemoryTokens - request.promptTokens - request.maxTokens;
    const isEmpty = view.freeMemoryTokens >= view.memoryTokens;
    const reserve = isEmpty || !isLongClass(request.lengthClass) ? 0 : view.memoryTokens * SHORT_MEMORY_RESERVE;
    const isEngineQueueShort = !isLongClass(request.lengthClass) || view.drainedAtMs - input.now <= MAX_ENGINE_QUEUE_MS;
    return isEngineQueueShort && free >= reserve && view.freeSlots > 0;
}

/**
 * Chooses the better of two random endpoints (power of two choices), so that hosts with the same load report do not all
 * choose the same one.
 */
function chooseBestScored(
    input: RoutingInput,
    bestScored: readonly ScoredView[],
): { chosen: ScoredView; random: RoutingInput["random"]; } {
    const { values, next } = generateFractions(input.random, 2);
    const [first, second] = values.map(value => bestScored[Math.floor(value * bestScored.length)]);
    if (first === undefined || second === undefined) {
        throw new RangeError("no endpoint to choose from");
    }
    return { chosen: first.score <= second.score ? first : second, random: next };
}
