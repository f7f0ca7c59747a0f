import type { EndpointId, FailureDomainId } from "@currantrill/protocol";
import type { EndpointView } from "../../beliefs/model/endpointView.js";
import type { LanePlan } from "../model/lanePlan.js";

/** Work that arrives in the fleet, in prefill tokens per second. */
export interface LaneDemand {
    /** Classes `short` and `medium`. */
    readonly shortTokensPerSecond: number;
    /** Classes `long` and `huge`. */
    readonly longTokensPerSecond: number;
}

/** Spare endpoints of the short lane per square root of its load, so that a request rarely finds all of them busy. */
const SHORT_LANE_SLACK = 2;
/** Highest load of the long lane that the plan accepts before it takes endpoints from the short lane. */
const LONG_LANE_MAX_LOAD = 0.95;

/**
 * Divides the endpoints into lanes by demand. All hosts with the same demand and the same endpoints come to the same
 * plan; with slightly different demand they differ only at the boundary.
 */
export function planLanes(views: readonly EndpointView[], demand: LaneDemand): LanePlan {
    const ordered = sortByDomain(views);
    if (ordered.length < 2) {
        return { longLane: new Set(ordered.map(view => view.endpoint)) };
    }
    const rate = ordered.reduce((sum, view) => sum + view.prefillTokensPerSecond, 0) / ordered.length;
    const shortLoad = demand.shortTokensPerSecond / rate;
    const longLoad = demand.longTokensPerSecond / rate;
    const wanted = shortLoad + SHORT_LANE_SLACK * Math.sqrt(shortLoad);
    const atMost = ordered.length - longLoad / LONG_LANE_MAX_LOAD;
    const shortSize = Math.ceil(Math.max(countDomains(ordered), shortLoad, Math.min(wanted, atMost)));
    const longSize = Math.min(ordered.length - 1, Math.max(1, ordered.length - shortSize));
    return { longLane: new Set(ordered.slice(0, longSize).map(view => view.endpoint)) };
}

/**
 * Each failure domain keeps an endpoint in the short lane. At low demand a lane of one endpoint drew the short requests
 * of all domains to one of them, which a partition then cut off.
 */
const countDomains = (views: readonly EndpointView[]): number => new Set(views.map(view => view.failureDomain)).size;

/** Orders the endpoints by name, taking one of each failure domain in turn, so that each domain gets both lanes. */
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
