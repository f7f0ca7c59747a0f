/** Scopes between which entitlements are divided: the hosts of the local failure domain, and each remote domain. */
import { getMemberState, listDomains, type Member } from "@currantrill/core";
import type { DemandFact, WorkspaceId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";

/** A scope with its published demand. */
export interface ListedScope {
    /** Id of the host or of the failure domain. */
    readonly scope: string;
    /** Number of hosts in the scope. */
    readonly hosts: number;
    /** Whether this host sees at least one host of the scope as live. */
    readonly isReachable: boolean;
    /** Demand that the scope publishes, in tokens per second. Absent workspaces count with the equal share. */
    readonly published: Readonly<Record<WorkspaceId, number>>;
}

/** Lists the scopes. Leaving hosts admit no requests and have no share. */
export function listDemandScopes(context: HostContext): ListedScope[] {
    const { membership } = context.fleet;
    const members = [...membership.members.values()].filter(member => !member.leaving);
    const local = members
        .filter(member => member.failureDomain === membership.failureDomain)
        .map(member => createScope(context, member.host, [member]));
    const remote = listDomains(membership)
        .filter(domain => domain !== membership.failureDomain)
        .map(domain => createScope(context, domain, members.filter(member => member.failureDomain === domain)))
        .filter(scope => scope.hosts > 0);
    return [...local, ...remote];
}

function createScope(context: HostContext, scope: string, members: readonly Member[]): ListedScope {
    const { gossip, membership } = context.fleet;
    const now = performance.now();
    const fact = gossip.facts.get(`demand/${scope}`)?.versioned.fact as DemandFact | undefined;
    return {
        scope,
        hosts: members.length,
        isReachable: members.some(member => getMemberState(membership, member, now) === "live"),
        published: fact?.demand ?? {},
    };
}
