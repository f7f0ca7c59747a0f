import type { EndpointView } from "../../beliefs/model/endpointView.js";
import { generateFractions, type RandomState } from "../../model/randomState.js";
import type { RoutingInput, RoutingPolicyName } from "../../routing/model/routing.js";
import { estimateWait } from "../../routing/queries/estimateFirstToken.js";
import { isAvailable } from "../../routing/queries/listCandidates.js";
import type { GangMember } from "../model/gangAttempt.js";

export type GangPlan =
    | { readonly kind: "members"; readonly members: readonly GangMember[]; readonly expectedFirstTokenMs: number; }
    /** Too little memory is believed free now; try again later. */
    | { readonly kind: "wait"; }
    /** All endpoints together are too small. */
    | { readonly kind: "too_large"; };

/** Part of a member's free memory that the plan leaves for work that the report does not show. */
const MEMORY_HEADROOM = 0.05;

/** Cost of a member, lower is better. `fraction` is a random number from 0 to 1. */
type GangRanking = (input: RoutingInput, view: EndpointView, fraction: number) => number;

const gangRankings: Record<RoutingPolicyName, GangRanking> = {
    "random": (_input, _view, fraction) => fraction,
    "least-loaded": (_input, view) => view.report.queuedPrefillTokens,
    "adaptive": (input, view) =>
        estimateWait(input, view) + (input.lanes.longLane.has(view.endpoint) ? 0 : CROSS_LANE_COST_MS),
};

const CROSS_LANE_COST_MS = 10_000;

/**
 * Chooses the members of a gang: the fewest endpoints, best ranked first, whose memory believed free holds the prompt.
 * The prompt is divided as evenly as the free memory allows. Members are in ascending endpoint order.
 */
export function planGang(policy: RoutingPolicyName, input: RoutingInput): { plan: GangPlan; random: RandomState; } {
    const { values, next } = generateFractions(input.random, policy === "random" ? input.candidates.length : 0);
    return { plan: chooseMembers(input, values, gangRankings[policy]), random: next };
}

function chooseMembers(input: RoutingInput, fractions: readonly number[], rank: GangRanking): GangPlan {
    const needed = input.request.promptTokens + input.request.maxTokens;
    const available = input.candidates.filter(view => isAvailable(view, input.request.model, input.now));
    if (sum(available.map(view => view.memoryTokens * (1 - MEMORY_HEADROOM))) < needed) {
        return { kind: "too_large" };
    }
    const ranked = available
        .map((view, position) => ({
            view,
            free: estimateFreeMemory(view),
            cost: rank(input, view, fractions[position] ?? 0),
        }))
        .sort((a, b) => a.cost - b.cost || b.free - a.free);
    const chosen: typeof ranked = [];
    let free = 0;
    for (const entry of ranked) {
        if (free >= needed) {
            break;
        }
        if (entry.free > 0) {
            chosen.push(entry);
            free += entry.free;
        }
    }
    if (free < needed) {
        return { kind: "wait" };
    }
    const level = computeShareLevel(chosen.map(entry => entry.free), needed);
    const shares = chosen.map(({ view, free: limit }) => ({ view, tokens: Math.ceil(Math.min(limit, level)) }));
    return {
        kind: "members",
        members: shares
            .map(({ view, tokens }) => ({ endpoint: view.endpoint, tokens }))
            .sort((a, b) => a.endpoint < b.endpoint ? -1 : 1),
        expectedFirstTokenMs: Math.max(
            ...shares.map(({ view, tokens }) =>
                estimateWait(input, view) + tokens / view.prefillTokensPerSecond * 1_000
            ),
        ),
    };
}

/** Memory that the host believes to be free on an endpoint, in tokens, with headroom. */
export function estimateFreeMemory(view: EndpointView): number {
    return Math.max(0, Math.floor(view.freeMemoryTokens * (1 - MEMORY_HEADROOM)));
}

/** Largest share such that the shares, each cut at its member's limit, add up to `needed`. */
function computeShareLevel(limits: readonly number[], needed: number): number {
    const sorted = [...limits].sort((a, b) => a - b);
    let remaining = needed;
    for (const [position, limit] of sorted.entries()) {
        const even = remaining / (sorted.length - position);
        if (even <= limit) {
            return even;
        }
        remaining -= limit;
    }
    return Infinity;
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
