import type { FailureDomainId, ServiceId } from "@currantrill/protocol";
import type { Endpoint } from "../../endpoints/model/endpointDirectory.js";
import { getFailures } from "../../endpoints/model/endpointHealth.js";
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
        endpoint,
        id: endpoint.entry.id,
        address: endpoint.entry.address,
        failureDomain: endpoint.entry.failureDomain,
        slots: endpoint.entry.slots,
        bookings: bookings.get(endpoint.entry.id) ?? [],
        failures: getFailures(endpoint.health, nowMs),
        isSilent: endpoint.health.isSilent,
        domainSilence: silence.get(endpoint.entry.failureDomain) ?? 0,
        bias: endpoint.bias,
        pace: endpoint.health.pace,
    }));
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
