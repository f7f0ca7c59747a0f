import type { EndpointView } from "../../beliefs/model/endpointView.js";
import type { RoutingInput, RoutingPolicyName } from "../../routing/model/routing.js";
import { estimateWait } from "../../routing/queries/estimateFirstToken.js";
import { isAvailable } from "../../routing/queries/listCandidates.js";
import type { GangMember } from "../model/gangAttempt.js";

export type GangPlan =
    | { readonly kind: "members"; readonly members: readonly GangMember[]; }
    /** Too little memory is believed free now; try again later. */
    | { readonly kind: "wait"; }
    /** All endpoints together are too small. */
    | { readonly kind: "too_large"; };

/** Part of a member's free memory that the plan leaves for work that the report does not show. */
const MEMORY_HEADROOM = 0.05;

/** Cost of a member, lower is better. The memory believed free decides among the baselines' equals. */
type GangRanking = (input: RoutingInput, view: EndpointView) => number;

const gangRankings: Record<RoutingPolicyName, GangRanking> = {
    // Only the order of endpoints by name is left, the same for all hosts.
    "random": () => 0,
    "least-loaded": (_input, view) => view.report.queuedPrefillTokens,
    "adaptive": (input, view) =>
        estimateWait(input, view) + (input.lanes.longLane.has(view.endpoint) ? 0 : CROSS_LANE_COST_MS),
};

const CROSS_LANE_COST_MS = 10_000;

/**
 * Chooses the members of a gang: the fewest endpoints, best ranked first, whose memory believed free holds the prompt.
 * The prompt is divided as evenly as the free memory allows. Members are in ascending endpoint order.
 */
export function planGang(policy: RoutingPolicyName, input: RoutingInput): GangPlan {
    const needed = input.request.promptTokens + input.request.maxTokens;
    const available = input.candidates.filter(view => isAvailable(view, input.request.model, input.now));
    if (sum(available.map(view => view.memoryTokens * (1 - MEMORY_HEADROOM))) < needed) {
        return { kind: "too_large" };
    }
    const rank = gangRankings[policy];
    const ranked = available
        .map(view => ({ endpoint: view.endpoint, free: estimateFreeMemory(view), cost: rank(input, view) }))
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
    return {
        kind: "members",
        members: chosen
            .map(({ endpoint, free: limit }) => ({ endpoint, tokens: Math.ceil(Math.min(limit, level)) }))
            .sort((a, b) => a.endpoint < b.endpoint ? -1 : 1),
    };
}

/** Memory that the host believes to be free on an endpoint, in tokens, with headroom. */
export function estimateFreeMemory(view: EndpointView): number {
    const used = view.report.memoryUsedTokens + view.ownLoad.memoryTokensSinceReport;
    return Math.max(0, Math.floor((view.memoryTokens - used) * (1 - MEMORY_HEADROOM)));
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
