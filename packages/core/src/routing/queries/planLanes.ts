import type { EndpointId, FailureDomainId } from "@currantrill/protocol";
import type { EndpointView } from "../../endpoints/model/endpointView.js";
import type { LanePlan } from "../model/lanePlan.js";

/** Demand by lane, in prefill tokens per second. */
export interface LaneDemand {
    /** Classes `short` and `medium`. */
    readonly shortTokensPerSecond: number;
    /** Classes `long` and `huge`. */
    readonly longTokensPerSecond: number;
}

/** Spare endpoints of the short lane as a multiple of the square root of its load, so that they are rarely all busy. */
const SHORT_LANE_SLACK = 2;
/** Utilization of the long lane above which the plan takes the spare endpoints from the short lane. */
const LONG_LANE_MAX_LOAD = 0.95;

/**
 * Divides the endpoints into lanes by the demand of the fleet. Hosts with the same endpoints and the same demand
 * compute the same plan; with slightly different demand their plans differ in few endpoints.
 */
export function planLanes(views: readonly EndpointView[], demand: LaneDemand): LanePlan {
    const ordered = sortByDomain(views);
    if (ordered.length < 2) {
        return { longLane: new Set(ordered.map(view => view.endpoint)) };
    }
    const meanRate = ordered.reduce((sum, view) => sum + view.prefillTokensPerSecond, 0) / ordered.length;
    const shortLoad = demand.shortTokensPerSecond / meanRate;
    const longLoad = demand.longTokensPerSecond / meanRate;
    const shortSizeWithSpare = shortLoad + SHORT_LANE_SLACK * Math.sqrt(shortLoad);
    const shortSizeLimit = ordered.length - longLoad / LONG_LANE_MAX_LOAD;
    const shortSize = Math.ceil(
        Math.max(countDomains(ordered), shortLoad, Math.min(shortSizeWithSpare, shortSizeLimit)),
    );
    const longSize = Math.min(ordered.length - 1, Math.max(1, ordered.length - shortSize));
    return { longLane: new Set(ordered.slice(0, longSize).map(view => view.endpoint)) };
}

/**
 * Counts the failure domains. The short lane has at least one endpoint for each: when it had only one at low demand,
 * the short requests of all domains went to one domain, and a network partition made it unreachable for the others.
 */
const countDomains = (views: readonly EndpointView[]): number => new Set(views.map(view => view.failureDomain)).size;

/**
 * Interleaves the endpoints of the failure domains, in the order of their names, so that each domain gets both lanes.
 */
function sortByDomain(views: readonly EndpointView[]): EndpointView[] {
    const domains = new Map<FailureDomainId, EndpointView[]>();
    for (const view of [...views].sort((a, b) => a.endpoint < b.endpoint ? -1 : 1)) {
        domains.set(view.failureDomain, [...domains.get(view.failureDomain) ?? [], view]);
    }
    const position = new Map<EndpointId, number>();
    for (const members of domains.values()) {
        members.forEach((view, index) => position.set(view.endpoint, (index + 0.5) / members.length));
    }
    return [...views].sort((a, b) =>
        (position.get(a.endpoint) ?? 0) - (position.get(b.endpoint) ?? 0) || (a.endpoint < b.endpoint ? -1 : 1)
    );
}
