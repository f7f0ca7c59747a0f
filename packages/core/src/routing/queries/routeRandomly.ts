import { generateFractions } from "../../model/randomState.js";
import type { RoutingDecision, RoutingInput } from "../model/routing.js";
import { buildNoFitDecision, buildSendDecision } from "./buildDecision.js";
import { getRequestPriority } from "./getEnginePriority.js";
import { listCandidates } from "./listCandidates.js";

/** Baseline policy: a random endpoint of those that could serve the request. */
export function routeRandomly(input: RoutingInput): RoutingDecision {
    const candidates = listCandidates(input);
    const { values, next } = generateFractions(input.random, 1);
    const view = candidates.fitting[Math.floor((values[0] ?? 0) * candidates.fitting.length)];
    if (view === undefined) {
        return buildNoFitDecision(input, candidates, getRequestPriority(input.request));
    }
    return buildSendDecision(input, {
        view,
        considered: [],
        enginePriority: getRequestPriority(input.request),
        reason: "random",
        random: next,
    });
}
