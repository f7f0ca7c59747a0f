import type { FailureDomainId, ServiceId } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { type EndpointHealth, getFailures, getPace } from "../../endpoints/model/endpointHealth.js";
import type { SharedSighting } from "../../endpoints/model/endpointSighting.js";
import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { EndpointLoad } from "../../placement/model/endpointLoad.js";

export interface LoadOfEndpoint extends EndpointLoad {
    readonly endpoint: Endpoint;
}

/** Lists the endpoints of a service that take requests, as placement sees them. */
export function listLoads(context: ForwardingContext, service: ServiceId, nowMs: number): readonly LoadOfEndpoint[] {
    const bookings = context.ledger.groupByEndpoint(nowMs);
    const ready = context.directory.listReady(service);
    const silence = measureSilence(ready, context.directory.ownDomain);
    return ready.map(endpoint => ({
        ...mergeHealth(endpoint.health, context.sightings.get(endpoint.entry.id, nowMs), nowMs),
        endpoint,
        id: endpoint.entry.id,
        address: endpoint.entry.address,
        failureDomain: endpoint.entry.failureDomain,
        slots: endpoint.entry.slots,
        bookings: bookings.get(endpoint.entry.id) ?? [],
        domainSilence: silence.get(endpoint.entry.failureDomain) ?? 0,
        bias: endpoint.bias,
    }));
}

/** Weight of a peer's failure beside an own one: a peer may have other reasons for it. */
const PEER_FAILURE_WEIGHT = 0.4;
/** One host that makes many requests must not condemn an endpoint alone. */
const MAX_PEER_FAILURES = 6;
/** Peers that together are believed that an endpoint is silent. */
const SILENT_WITNESSES = 2;
/** An endpoint that answered this host within this time is not silent, whatever peers say. */
const OWN_ANSWER_MS = 1_000;

/** Joins what this host and its peers have seen of an endpoint. */
function mergeHealth(
    health: EndpointHealth,
    shared: SharedSighting,
    nowMs: number,
): Pick<EndpointLoad, "failures" | "isSilent" | "pace"> {
    const hasAnswered = nowMs - health.answeredAtMs < OWN_ANSWER_MS;
    return {
        failures: getFailures(health, nowMs) + PEER_FAILURE_WEIGHT * Math.min(MAX_PEER_FAILURES, shared.failures),
        isSilent: health.isSilent || !hasAnswered && shared.silentWitnesses >= SILENT_WITNESSES,
        pace: getPace(health, nowMs) ?? shared.pace,
    };
}

/** Measures the part of the endpoints that are silent, by failure domain other than the host's own. */
function measureSilence(
    endpoints: readonly Endpoint[],
    ownDomain: FailureDomainId,
): ReadonlyMap<FailureDomainId, number> {
    const counts = new Map<FailureDomainId, { all: number; silent: number; }>();
    for (const { entry, health } of endpoints) {
        const count = counts.get(entry.failureDomain) ?? { all: 0, silent: 0 };
        count.all += 1;
        count.silent += health.isSilent ? 1 : 0;
        counts.set(entry.failureDomain, count);
    }
    counts.delete(ownDomain);
    return new Map([...counts].map(([domain, { all, silent }]) => [domain, silent / all]));
}
