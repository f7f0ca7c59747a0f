import { getMemberState, type Member } from "@currantrill/core";
import type { HostStatus } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";

/** Lists the statuses of all members as known to this host, sorted by host id. */
export function listHostStatuses(context: HostContext): HostStatus[] {
    const now = performance.now();
    return [...context.fleet.membership.members.values()]
        .sort((a, b) => a.host < b.host ? -1 : 1)
        .map(member => createHostStatus(context, member, now));
}

function createHostStatus(context: HostContext, member: Member, now: number): HostStatus {
    const { fleet, configuration } = context;
    const isSelf = member.host === fleet.self;
    const fact = fleet.gossip.facts.get(`host/${member.host}`)?.versioned.fact;
    const reported = fact?.kind === "host" ? fact.revision : undefined;
    return {
        host: member.host,
        failureDomain: member.failureDomain,
        peerAddress: member.peerAddress,
        state: getMemberState(fleet.membership, member, now),
        listed: member.listed || isSelf,
        revision: isSelf ? configuration.current.revision : reported,
        heardMsAgo: isSelf ? 0 : Math.round(now - member.lastHeardAtMs),
    };
}
