/** Which endpoints take new work from this host, and since when others do not. */
import {
    type Clocks,
    decideLending,
    type EndpointObject,
    type Freshness,
    type LendingDecision,
    type LocalStops,
    type OwnerReport,
    type ReclaimTimes,
    setUsable,
    trackReclaims,
} from "@currantrill/core";
import type { EndpointId } from "@currantrill/protocol";
import type { EndpointBeliefs } from "../../endpoints/model/endpointBeliefs.js";

export interface LendingSources {
    getEndpoints(): readonly EndpointObject[];
    findEndpoint(endpoint: EndpointId): EndpointObject | undefined;
    getStops(): LocalStops;
    getFreshness(): Freshness;
    readonly beliefs: EndpointBeliefs;
}

export interface LendingWatch {
    /** Whether the endpoint takes new work now. Asked immediately before each send. */
    isUsable(endpoint: EndpointId): boolean;
    /** Brings the views and the reclaim times up to date. */
    refresh(): void;
    getReclaims(): ReclaimTimes;
}

export const readClocks = (): Clocks => ({ wallMs: Date.now(), monotonicMs: performance.now() });

/** Creates the watch. */
export function createLendingWatch(sources: LendingSources): LendingWatch {
    let reclaims: ReclaimTimes = {};
    const decide = (endpoint: EndpointObject, now: Clocks): LendingDecision => {
        const report: OwnerReport | undefined = sources.beliefs.getDigest(endpoint.name);
        return decideLending(endpoint, sources.getStops(), sources.getFreshness(), report, now);
    };
    return {
        isUsable: id => {
            const endpoint = sources.findEndpoint(id);
            return endpoint !== undefined && decide(endpoint, readClocks()).usable;
        },
        refresh: () => {
            const now = readClocks();
            const decisions = new Map(sources.getEndpoints().map(entry => [entry.name, decide(entry, now)]));
            for (const [id, { usable }] of decisions) {
                sources.beliefs.update(id, view => setUsable(view, usable));
            }
            reclaims = trackReclaims(reclaims, decisions, now);
        },
        getReclaims: () => reclaims,
    };
}
