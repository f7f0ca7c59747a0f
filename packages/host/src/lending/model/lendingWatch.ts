/** Which endpoints take new work from this host, and since when others do not. */
import {
    addStop,
    type Clocks,
    type Configuration,
    decideLending,
    dropStops,
    type EndpointObject,
    type Freshness,
    type LendingDecision,
    type LocalStops,
    type OwnerReport,
    type ReclaimTimes,
    setUsable,
    trackReclaims,
} from "@currantrill/core";
import type { EndpointId, StopFact } from "@currantrill/protocol";
import { readClocks } from "../../configuration/model/configurationHolder.js";
import type { EndpointBeliefs } from "../../endpoints/model/endpointBeliefs.js";

export interface LendingSources {
    getEndpoints(): readonly EndpointObject[];
    findEndpoint(endpoint: EndpointId): EndpointObject | undefined;
    getFreshness(): Freshness;
    readonly beliefs: EndpointBeliefs;
}

export interface LendingWatch {
    /** Whether the endpoint takes new work now. Asked immediately before each send. */
    isUsable(endpoint: EndpointId): boolean;
    /** Adds a local stop. It holds until a ticket lends the endpoint again with a higher epoch. */
    addStop(stop: StopFact): void;
    /** Drops the stops that the configuration has overridden. */
    dropStops(configuration: Configuration): void;
    /** Brings the views and the reclaim times up to date. */
    refresh(): void;
    getReclaims(): ReclaimTimes;
}

/** Creates the watch. */
export function createLendingWatch(sources: LendingSources): LendingWatch {
    let reclaims: ReclaimTimes = {};
    let stops: LocalStops = {};
    const decide = (endpoint: EndpointObject, now: Clocks): LendingDecision => {
        const report: OwnerReport | undefined = sources.beliefs.getDigest(endpoint.name);
        return decideLending(endpoint, stops, sources.getFreshness(), report, now);
    };
    return {
        isUsable: id => {
            const endpoint = sources.findEndpoint(id);
            return endpoint !== undefined && decide(endpoint, readClocks()).usable;
        },
        addStop: stop => {
            stops = addStop(stops, stop);
        },
        dropStops: configuration => {
            stops = dropStops(stops, configuration);
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
