/** Decides where a prompt of a large fleet is served: in the local failure domain, or in another one. */
import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointLoad } from "../../placement/model/endpointLoad.js";
import { choosePlacement, type Placement } from "../../placement/queries/choosePlacement.js";
import { describePlacement } from "../../placement/queries/describePlacement.js";
import type { PlacementContext } from "../../placement/queries/scoreEndpoint.js";
import type { PlacementAnswer, PlacementQuery } from "../model/placementQuery.js";

/** Other domains are considered from this cost of a local placement on; it is far below that of a late answer. */
const MIN_REDIRECT_COST = 0.6;
/**
 * Most that a placement in another domain may cost, as a fraction of the local cost. The loads of other domains are
 * known half a second late, and other coordinators redirect at the same time.
 */
const MAX_REDIRECT_FRACTION = 0.6;

export interface DecisionOptions {
    readonly context: PlacementContext;
    /** Lists the loads of a failure domain. */
    readonly listLoads: (domain: FailureDomainId) => readonly EndpointLoad[];
    /** Other failure domains that have a coordinator. */
    readonly otherDomains: readonly FailureDomainId[];
    /** Number from 0 to 1 that decides among other domains if the local one has no endpoint for the prompt. */
    readonly random: number;
}

/** Decides on a query by the loads that the host knows. */
export function decidePlacement(query: PlacementQuery, options: DecisionOptions): PlacementAnswer {
    const { context } = options;
    const local = chooseIn(query, options, context.hostDomain);
    const localCost = local?.cost ?? Infinity;
    if (query.mayRedirect && localCost >= MIN_REDIRECT_COST) {
        const others = options.otherDomains
            .map(domain => ({ domain, cost: chooseIn(query, options, domain)?.cost ?? Infinity }));
        const idle = local === undefined ? others.filter(({ cost }) => cost < MIN_REDIRECT_COST) : [];
        // All prompts of an evacuated domain move, and would go to the same domain until its next digest.
        const best = idle[Math.floor(options.random * idle.length)]
            ?? others.reduce((a, b) => b.cost < a.cost ? b : a, { domain: context.hostDomain, cost: Infinity });
        if (best.cost < MAX_REDIRECT_FRACTION * localCost) {
            return { kind: "redirected", domain: best.domain, localCost };
        }
    }
    return local === undefined || localCost >= (query.maxCost ?? Infinity)
        ? { kind: "none" }
        : { kind: "placed", placement: describePlacement(local) };
}

const chooseIn = (
    query: PlacementQuery,
    { context, listLoads }: DecisionOptions,
    domain: FailureDomainId,
): Placement | undefined =>
    choosePlacement(context, listLoads(domain).filter(load => !query.excludedIds.includes(load.id)), query);
