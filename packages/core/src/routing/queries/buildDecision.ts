import type { EndpointView } from "../../endpoints/model/endpointView.js";
import type { RandomState } from "../../model/randomState.js";
import type { RoutingDecision, RoutingInput, ScoredEndpoint } from "../model/routing.js";
import { estimateFirstToken } from "./estimateFirstToken.js";
import type { CandidateList } from "./listCandidates.js";

export interface ChosenEndpoint {
    readonly view: EndpointView;
    readonly considered: readonly ScoredEndpoint[];
    readonly enginePriority: number;
    readonly reason: string;
    readonly random: RandomState;
}

/**
 * Builds the decision for a request that fits on no single endpoint: a gang if endpoints serve the model but have too
 * little memory, a refusal if no endpoint serves the model.
 */
export function buildNoFitDecision(
    input: RoutingInput,
    candidates: CandidateList,
    enginePriority: number,
): RoutingDecision {
    const tooLarge = candidates.available > 0;
    return {
        outcome: tooLarge ? { kind: "gang", enginePriority } : { kind: "refuse", reason: "no_endpoint" },
        considered: [],
        candidateCount: input.candidates.length,
        reason: tooLarge ? "prompt larger than any endpoint" : "no endpoint serves the model now",
        random: input.random,
    };
}

/** Builds the decision for a request while every suitable endpoint is full: it stays in the queue. */
export function buildWaitDecision(input: RoutingInput, candidates: CandidateList): RoutingDecision {
    const expected = candidates.fitting.map(view => estimateFirstToken(input, view));
    return {
        outcome: { kind: "wait", expectedFirstTokenMs: Math.min(...expected) },
        considered: [],
        candidateCount: input.candidates.length,
        reason: "every suitable endpoint is full",
        random: input.random,
    };
}

/** Builds the decision for a request that a policy sends to one endpoint. */
export function buildSendDecision(input: RoutingInput, chosen: ChosenEndpoint): RoutingDecision {
    return {
        outcome: {
            kind: "send",
            endpoint: chosen.view,
            expectedFirstTokenMs: estimateFirstToken(input, chosen.view),
            enginePriority: chosen.enginePriority,
            cachedTokens: input.request.prefixHits.get(chosen.view.endpoint) ?? 0,
        },
        considered: chosen.considered,
        candidateCount: input.candidates.length,
        reason: chosen.reason,
        random: chosen.random,
    };
}
