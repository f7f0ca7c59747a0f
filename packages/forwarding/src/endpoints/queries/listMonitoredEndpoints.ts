import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Endpoint } from "../model/endpointDirectory.js";

/**
 * Lists the endpoints that this host monitors: its share of the endpoints with an engine in the local failure domain.
 * Each endpoint is monitored by exactly one host, provided that all hosts of the domain pass `hosts`, the addresses of
 * the hosts of the domain, in the same order.
 */
export function listMonitoredEndpoints(
    context: ForwardingContext,
    hosts: readonly string[],
    localAddress: string,
): readonly Endpoint[] {
    const services = context.getConfiguration()?.services;
    return context.directory.listAll()
        .filter(({ entry }) => entry.failureDomain === context.directory.localFailureDomain)
        .filter(({ entry }) => services?.get(entry.service)?.engine !== undefined)
        .sort((a, b) => a.entry.id < b.entry.id ? -1 : 1)
        .filter((_endpoint, index) => hosts[index % hosts.length] === localAddress);
}
