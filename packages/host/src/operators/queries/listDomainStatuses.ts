import { type Configuration, listDomainObjects, listEvacuatedDomains, listObjects } from "@currantrill/core";
import {
    type DomainHostStatus,
    type DomainStatus,
    type FailureDomainId,
    type HostStatus,
    type Revision,
    type TicketNumber,
    toTicketNumber,
} from "@currantrill/protocol";

/** Revision that each ticket created. */
export type TicketRevisions = ReadonlyMap<TicketNumber, Revision>;

/**
 * Lists the failure domains of endpoints and those that a ticket has named, sorted by name. Without `revisions`, only
 * hosts with the revision of `configuration` are known to have the state in force.
 */
export function listDomainStatuses(
    configuration: Configuration,
    hosts: readonly HostStatus[],
    revisions: TicketRevisions | undefined,
): DomainStatus[] {
    const endpoints = listObjects(configuration, "endpoint");
    const evacuated = listEvacuatedDomains(configuration);
    const tickets = new Map(listDomainObjects(configuration).map(([domain, { ticket }]) => [domain, ticket]));
    const domains = new Set<FailureDomainId>([...tickets.keys(), ...endpoints.map(endpoint => endpoint.failureDomain)]);
    return [...domains].sort().map(domain => {
        const ticket = tickets.get(domain);
        const isInForce = (host: HostStatus): boolean | undefined =>
            decideInForce(host, configuration.revision, ticket && revisions?.get(ticket));
        return {
            domain,
            state: evacuated.has(domain) ? "evacuated" : "in_service",
            ticket: ticket ?? toTicketNumber(0),
            endpoints: endpoints.filter(endpoint => endpoint.failureDomain === domain).length,
            hosts: ticket === undefined ? [] : hosts.map((host): DomainHostStatus => ({
                host: host.host,
                failureDomain: host.failureDomain,
                state: host.state,
                inForce: isInForce(host),
            })),
        };
    });
}

function decideInForce(host: HostStatus, current: Revision, setBy: Revision | undefined): boolean | undefined {
    const revision = host.revision ?? 0;
    if (setBy !== undefined) {
        return revision >= setBy;
    }
    return revision === current ? true : undefined;
}
