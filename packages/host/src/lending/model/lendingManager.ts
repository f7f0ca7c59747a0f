/** Lending decisions of a host: which endpoints accept new work from it, and since when a reclaimed one does not. */
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
import { readClocks } from "@currantrill/protocol";
import type { EndpointId, FailureDomainId, StopFact } from "@currantrill/protocol";
import type { EndpointStateTable } from "../../endpoints/model/endpointStateTable.js";

/** What the lending decisions depend on. */
export interface LendingSources {
    /** Lists the endpoints of the active configuration. */
    getEndpoints(): readonly EndpointObject[];
    /** Returns the failure domains that the active configuration evacuates. */
    getEvacuatedDomains(): ReadonlySet<FailureDomainId>;
    findEndpoint(endpoint: EndpointId): EndpointObject | undefined;
    /** Returns when the configuration was last confirmed. */
    getFreshness(): Freshness;
    readonly stateTable: EndpointStateTable;
}

/** Decides on lending from tickets, evacuations, local stops, the age of the configuration and the reports of the owners. */
export interface LendingManager {
    /** Whether the endpoint accepts new work now. Checked immediately before each attempt is sent. */
    isUsable(endpoint: EndpointId): boolean;
    /** Adds a stop. It is in effect until a ticket lends the endpoint again with a higher lend epoch. */
    addStop(stop: StopFact): void;
    /** Removes the stops that the configuration supersedes with a higher lend epoch. */
    dropStops(configuration: Configuration): void;
    /** Decides again on all endpoints and updates the endpoint views and the reclaim times. */
    refresh(): void;
    /**
     * Returns the time since which each reclaimed, stopped or withdrawn endpoint has accepted no new work, as of the
     * last refresh.
     */
    getReclaims(): ReclaimTimes;
}

export function createLendingManager(sources: LendingSources): LendingManager {
    let reclaims: ReclaimTimes = {};
    let stops: LocalStops = {};
    const decide = (endpoint: EndpointObject, now: Clocks): LendingDecision => {
        const report: OwnerReport | undefined = sources.stateTable.getDigest(endpoint.name);
        return decideLending(endpoint, sources.getEvacuatedDomains(), stops, sources.getFreshness(), report, now);
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
                sources.stateTable.update(id, view => setUsable(view, usable));
            }
            reclaims = trackReclaims(reclaims, decisions, now);
        },
        getReclaims: () => reclaims,
    };
}
