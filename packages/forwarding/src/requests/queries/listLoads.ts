import { type Clocks, type FailureDomainId, readClocks, type ServiceId } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { type EndpointHealth, getFailures, getSlowdown } from "../../endpoints/model/endpointHealth.js";
import { emptyObservationSummary, type ObservationSummary } from "../../endpoints/model/endpointObservation.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { EndpointLoad } from "../../placement/model/endpointLoad.js";
import { getEffectiveLimit } from "../../warmup/queries/getEffectiveLimit.js";

/** Load of an endpoint together with its directory entry. */
export interface CandidateLoad extends EndpointLoad {
    readonly endpoint: Endpoint;
    /** Whether the endpoint is cold, and takes requests only at its rate while cold. */
    readonly isCold: boolean;
}

/**
 * Lists the endpoints of a service that are not draining, with the load figures that placement compares. `domain` limits
 * them to one failure domain.
 */
export function listLoads(
    context: ForwardingContext,
    service: ServiceId,
    nowMs: number,
    domain?: FailureDomainId,
): readonly CandidateLoad[] {
    const { directory, assignmentRegistry: registry } = context;
    const now = readClocks();
    const known = registry.groupByEndpoint(nowMs);
    const summaries = context.peerObservations.summarize(nowMs);
    const ready = directory.listReady(service);
    const unresponsiveFractions = computeUnresponsiveFractions(ready, directory.localFailureDomain);
    const groups = new Map(
        [...new Set(ready.map(endpoint => endpoint.entry.failureDomain))].map(each => [
            each,
            // A digest of another domain lists all assignments there, also those of this host and its peers.
            each === directory.localFailureDomain ? known : registry.groupDomain(each, nowMs) ?? known,
        ]),
    );
    return ready.filter(({ entry }) => domain === undefined || entry.failureDomain === domain).map(endpoint => ({
        ...mergeHealth(endpoint.health, summaries.get(endpoint.entry.id) ?? emptyObservationSummary, nowMs),
        endpoint,
        id: endpoint.entry.id,
        address: endpoint.entry.address,
        failureDomain: endpoint.entry.failureDomain,
        slots: endpoint.entry.slots,
        assignments: groups.get(endpoint.entry.failureDomain)?.get(endpoint.entry.id) ?? [],
        domainUnresponsiveFraction: unresponsiveFractions.get(endpoint.entry.failureDomain) ?? 0,
        bias: endpoint.bias,
        ...describeLimit(endpoint, now),
    }));
}

function describeLimit(endpoint: Endpoint, now: Clocks): Pick<CandidateLoad, "isCold" | "isRateLimited"> {
    const limit = getEffectiveLimit(endpoint, now);
    return { isRateLimited: limit !== undefined, isCold: limit?.isCold === true };
}

/** Weight of a failure that a peer reports relative to a local one, since its cause may lie with the peer. */
const PEER_FAILURE_WEIGHT = 0.4;
/** Limit on the failures counted from peers, so that one host with many requests cannot exclude an endpoint alone. */
const MAX_PEER_FAILURES = 6;
/** Number of peers that must report an endpoint as unresponsive before this host treats it so. */
const MIN_UNRESPONSIVE_REPORTS = 2;
/** An endpoint that responded to this host within this time is not unresponsive, whatever peers report. */
const RECENT_RESPONSE_MS = 1_000;

/** Merges the local health of an endpoint with the observations of peers. */
function mergeHealth(
    health: EndpointHealth,
    shared: ObservationSummary,
    nowMs: number,
): Pick<EndpointLoad, "failures" | "isUnresponsive" | "slowdown"> {
    const hasRecentResponse = nowMs - health.lastResponseAtMs < RECENT_RESPONSE_MS;
    return {
        failures: getFailures(health, nowMs) + PEER_FAILURE_WEIGHT * Math.min(MAX_PEER_FAILURES, shared.failures),
        isUnresponsive: health.isUnresponsive
            || !hasRecentResponse && shared.unresponsiveReports >= MIN_UNRESPONSIVE_REPORTS,
        slowdown: getSlowdown(health, nowMs) ?? shared.maxSlowdown,
    };
}

/** Computes the fraction of unresponsive endpoints by failure domain, except for the local one. */
function computeUnresponsiveFractions(
    endpoints: readonly Endpoint[],
    excludedDomain: FailureDomainId,
): ReadonlyMap<FailureDomainId, number> {
    const counts = new Map<FailureDomainId, { total: number; unresponsive: number; }>();
    for (const { entry, health } of endpoints) {
        const count = counts.get(entry.failureDomain) ?? { total: 0, unresponsive: 0 };
        count.total += 1;
        count.unresponsive += health.isUnresponsive ? 1 : 0;
        counts.set(entry.failureDomain, count);
    }
    counts.delete(excludedDomain);
    return new Map([...counts].map(([domain, { total, unresponsive }]) => [domain, unresponsive / total]));
}
