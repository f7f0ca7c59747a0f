import type { ForwardingContext } from "../../model/forwardingContext.js";
import type { Endpoint } from "../model/endpointDirectory.js";

/**
 * Lists the model endpoints of the own failure domain that this host asks for their state, so that each is asked by one
 * host. `hosts` are those of the domain, in an order that is the same on all of them.
 */
export function listWatched(
    context: ForwardingContext,
    hosts: readonly string[],
    ownAddress: string,
): readonly Endpoint[] {
    const services = context.getConfiguration()?.services;
    return context.directory.listAll()
        .filter(({ entry }) => entry.failureDomain === context.directory.ownDomain)
        .filter(({ entry }) => services?.get(entry.service)?.engine !== undefined)
        .sort((a, b) => a.entry.id < b.entry.id ? -1 : 1)
        .filter((_endpoint, index) => hosts[index % hosts.length] === ownAddress);
}
