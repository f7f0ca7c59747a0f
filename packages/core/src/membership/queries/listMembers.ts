import type { FailureDomainId, HostId, IncarnationId } from "@currantrill/protocol";
import { type Member, type Membership, REMOTE_SUSPICION_MS, SUSPICION_MS } from "../model/member.js";

export type MemberState = "live" | "suspect" | "leaving";

/** Whether the member was heard of within the suspicion time. */
export function isHeard(membership: Membership, member: Member, now: number): boolean {
    const isOwnDomain = member.failureDomain === membership.failureDomain;
    return now - member.heardAtMs <= (isOwnDomain ? SUSPICION_MS : REMOTE_SUSPICION_MS);
}

/** Describes the state of a member. The host itself is never suspect to itself. */
export function describeMember(membership: Membership, member: Member, now: number): MemberState {
    if (member.leaving) {
        return "leaving";
    }
    return member.host === membership.self || isHeard(membership, member, now) ? "live" : "suspect";
}

/** Lists the hosts that are live, in a domain if one is given, in the order of their ids. */
export function listLiveHosts(membership: Membership, now: number, domain?: FailureDomainId): HostId[] {
    return [...membership.members.values()]
        .filter(member => domain === undefined || member.failureDomain === domain)
        .filter(member => describeMember(membership, member, now) === "live")
        .map(member => member.host)
        .sort();
}

/** Lists the failure domains of all members, suspect ones included, in alphabetical order. */
export function listDomains(membership: Membership): FailureDomainId[] {
    return [...new Set([...membership.members.values()].map(member => member.failureDomain))].sort();
}

/** Whether a run of a host is a member, live or not. */
export function hasIncarnation(membership: Membership, incarnation: IncarnationId): boolean {
    return [...membership.members.values()].some(member => member.incarnation === incarnation);
}
