import type { EndpointView } from "../../endpoints/model/endpointView.js";
import { generateFractions, type RandomState } from "../../model/randomState.js";
import type { RoutingInput, RoutingPolicyName } from "../../routing/model/routing.js";
import { estimateWait } from "../../routing/queries/estimateFirstToken.js";
import { isAvailable } from "../../routing/queries/listCandidates.js";
import { scoreLane } from "../../routing/queries/scoreLane.js";
import type { GangMember } from "../model/gangAttempt.js";
import type { GangCandidate, GangShare } from "../model/gangShare.js";
import { shareByMemory } from "./shareByMemory.js";

/** Members for a prompt, or why there are none. */
export type GangPlan =
    | {
        readonly kind: "members";
        /** In ascending endpoint order. */
        readonly members: readonly GangMember[];
        readonly expectedFirstTokenMs: number;
    }
    /** The estimated free memory is too small for now; plan again later. */
    | { readonly kind: "wait"; }
    /** The memory of all available endpoints together is too small. */
    | { readonly kind: "too_large"; };

/** Fraction of a member's free memory that the plan reserves for work that its load report does not show. */
const MEMORY_HEADROOM = 0.05;

/** Chooses the members and their shares. `fractions` are random numbers, one for each candidate. */
type SharingPolicy = (
    candidates: readonly GangCandidate[],
    needed: number,
    fractions: readonly number[],
) => readonly GangShare[] | undefined;

const sharingPolicies: Record<RoutingPolicyName, SharingPolicy> = {
    "random": (candidates, needed, fractions) =>
        shareByMemory(sortBy(candidates, (_candidate, position) => fractions[position] ?? 0), needed),
    "least-loaded": (candidates, needed) =>
        shareByMemory(sortBy(candidates, ({ view }) => view.report.queuedPrefillTokens), needed),
    "adaptive": (candidates, needed) => shareByMemory(sortBy(candidates, ({ waitMs }) => waitMs), needed),
};

/** Plans the members of a gang for a prompt that no single endpoint can take. */
export function planGang(policy: RoutingPolicyName, input: RoutingInput): { plan: GangPlan; random: RandomState; } {
    const { request } = input;
    const needed = request.promptTokens + request.maxTokens;
    const available = input.candidates.filter(view => isAvailable(view, request.model, input.now));
    if (available.reduce((sum, view) => sum + view.memoryTokens, 0) * (1 - MEMORY_HEADROOM) < needed) {
        return { plan: { kind: "too_large" }, random: input.random };
    }
    const candidates = available.map(view => createCandidate(input, view));
    const { values, next } = generateFractions(input.random, policy === "random" ? candidates.length : 0);
    const shares = sharingPolicies[policy](candidates, needed, values);
    return { plan: shares === undefined ? { kind: "wait" } : createPlan(shares), random: next };
}

function createCandidate(input: RoutingInput, view: EndpointView): GangCandidate {
    return {
        view,
        freeTokens: Math.max(0, Math.floor(view.freeMemoryTokens * (1 - MEMORY_HEADROOM))),
        waitMs: estimateWait(input, view) + scoreLane(input, view),
    };
}

function createPlan(shares: readonly GangShare[]): GangPlan {
    return {
        kind: "members",
        members: shares
            .map(({ candidate, tokens }) => ({ endpoint: candidate.view.endpoint, tokens }))
            .sort((a, b) => a.endpoint < b.endpoint ? -1 : 1),
        expectedFirstTokenMs: Math.max(
            ...shares.map(({ candidate: { view, waitMs }, tokens }) =>
                waitMs + tokens / view.prefillTokensPerSecond * 1_000
            ),
        ),
    };
}

function sortBy(
    candidates: readonly GangCandidate[],
    rank: (candidate: GangCandidate, position: number) => number,
): GangCandidate[] {
    return candidates
        .map((candidate, position) => ({ candidate, cost: rank(candidate, position) }))
        .sort((a, b) => a.cost - b.cost || b.candidate.freeTokens - a.candidate.freeTokens)
        .map(({ candidate }) => candidate);
}
