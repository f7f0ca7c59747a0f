/** Scopes among which entitlements are split: the hosts of the own domain and the other domains. */
import { describeMember, listDomains, type Member } from "@currantrill/core";
import type { DemandFact, WorkspaceId } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";

export interface ListedScope {
    readonly scope: string;
    readonly hosts: number;
    readonly isReachable: boolean;
    /** Demands published by the scope; the equal share for workspaces that are absent. */
    readonly published: Readonly<Record<WorkspaceId, number>>;
}

/** Lists the scopes. Hosts that leave admit nothing and have no part. */
export function listDemandScopes(context: HostContext): ListedScope[] {
    const { membership } = context.fleet;
    const members = [...membership.members.values()].filter(member => !member.leaving);
    const own = members
        .filter(member => member.failureDomain === membership.failureDomain)
        .map(member => createScope(context, member.host, [member]));
    const remote = listDomains(membership)
        .filter(domain => domain !== membership.failureDomain)
        .map(domain => createScope(context, domain, members.filter(member => member.failureDomain === domain)))
        .filter(scope => scope.hosts > 0);
    return [...own, ...remote];
}

function createScope(context: HostContext, scope: string, members: readonly Member[]): ListedScope {
    const { flood, membership } = context.fleet;
    const now = performance.now();
    const fact = flood.facts.get(`demand/${scope}`)?.versioned.fact as DemandFact | undefined;
    return {
        scope,
        hosts: members.length,
        isReachable: members.some(member => describeMember(membership, member, now) === "live"),
        published: fact?.demand ?? {},
    };
}
