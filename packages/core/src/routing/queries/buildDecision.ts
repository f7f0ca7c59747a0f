import type { EndpointView } from "../../beliefs/model/endpointView.js";
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

/** Decision for a request that no single endpoint can take. */
export function refuseRoute(input: RoutingInput, candidates: CandidateList, enginePriority: number): RoutingDecision {
    const tooLarge = candidates.available > 0;
    return {
        outcome: tooLarge ? { kind: "gang", enginePriority } : { kind: "refuse", reason: "no_endpoint" },
        considered: [],
        candidateCount: input.candidates.length,
        reason: tooLarge ? "prompt larger than any endpoint" : "no endpoint serves the model now",
        random: input.random,
    };
}

/** Decision for a huge prompt that fits one endpoint, none of which has the memory free: several may have it together. */
export function splitRoute(input: RoutingInput, enginePriority: number): RoutingDecision {
    return {
        outcome: { kind: "gang", enginePriority },
        considered: [],
        candidateCount: input.candidates.length,
        reason: "no endpoint has the memory free now",
        random: input.random,
    };
}

/** Decision for a request that finds every suitable endpoint full. */
export function waitForRoom(input: RoutingInput, candidates: CandidateList): RoutingDecision {
    const expected = candidates.fitting.map(view => estimateFirstToken(input, view));
    return {
        outcome: { kind: "wait", expectedFirstTokenMs: Math.min(...expected) },
        considered: [],
        candidateCount: input.candidates.length,
        reason: "every suitable endpoint is full",
        random: input.random,
    };
}

/** Decision for a request that a policy sends to one endpoint. */
export function sendRoute(input: RoutingInput, chosen: ChosenEndpoint): RoutingDecision {
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
