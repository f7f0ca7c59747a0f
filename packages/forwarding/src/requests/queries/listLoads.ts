import type { ServiceId } from "@currantrill/protocol";
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
    return context.directory.listReady(service).map(endpoint => ({
        endpoint,
        id: endpoint.entry.id,
        address: endpoint.entry.address,
        failureDomain: endpoint.entry.failureDomain,
        slots: endpoint.entry.slots,
        bookings: bookings.get(endpoint.entry.id) ?? [],
        failures: getFailures(endpoint.health, nowMs),
        isSilent: endpoint.health.isSilent,
        bias: endpoint.bias,
        pace: endpoint.health.pace,
    }));
}
