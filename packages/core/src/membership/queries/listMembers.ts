import type { FailureDomainId, HostId, IncarnationId } from "@currantrill/protocol";
import { type Member, type Membership, REMOTE_SUSPICION_TIMEOUT_MS, SUSPICION_TIMEOUT_MS } from "../model/member.js";

/** `suspect`: no heartbeat within the suspicion timeout. `leaving`: the host has announced that it is stopping. */
export type MemberState = "live" | "suspect" | "leaving";

/** Whether a heartbeat of the member was received within the suspicion timeout. */
export function isRecentlyHeard(membership: Membership, member: Member, now: number): boolean {
    const isLocalDomain = member.failureDomain === membership.failureDomain;
    return now - member.lastHeardAtMs <= (isLocalDomain ? SUSPICION_TIMEOUT_MS : REMOTE_SUSPICION_TIMEOUT_MS);
}

/** A host never suspects itself. */
export function getMemberState(membership: Membership, member: Member, now: number): MemberState {
    if (member.leaving) {
        return "leaving";
    }
    return member.host === membership.self || isRecentlyHeard(membership, member, now) ? "live" : "suspect";
}

/** Lists the live hosts, only those of `domain` if it is given, in the order of their ids. */
export function listLiveHosts(membership: Membership, now: number, domain?: FailureDomainId): HostId[] {
    return [...membership.members.values()]
        .filter(member => domain === undefined || member.failureDomain === domain)
        .filter(member => getMemberState(membership, member, now) === "live")
        .map(member => member.host)
        .sort();
}

/** Lists the failure domains of all members, suspect ones included, in alphabetical order. */
export function listDomains(membership: Membership): FailureDomainId[] {
    return [...new Set([...membership.members.values()].map(member => member.failureDomain))].sort();
}

/** Whether a host incarnation (one run of its process) is a member, live or not. */
export function hasIncarnation(membership: Membership, incarnation: IncarnationId): boolean {
    return [...membership.members.values()].some(member => member.incarnation === incarnation);
}
