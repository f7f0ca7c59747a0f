import type { HostId } from "@currantrill/protocol";
import type { Member, MemberInfo, Membership } from "../model/member.js";
import { isRecentlyHeard } from "../queries/listMembers.js";

/**
 * Merges a read of the host list. The list lags, so a host with a recent heartbeat stays a member although it is not
 * listed, and the incarnation of a recent heartbeat takes precedence over the listed one.
 */
export function mergeHostList(membership: Membership, listed: readonly MemberInfo[], now: number): Membership {
    const members = new Map<HostId, Member>();
    for (const info of listed) {
        members.set(info.host, mergeListedHost(membership, info, now));
    }
    for (const member of membership.members.values()) {
        const isKept = member.host === membership.self || isRecentlyHeard(membership, member, now);
        if (!members.has(member.host) && isKept) {
            members.set(member.host, { ...member, listed: false });
        }
    }
    return { ...membership, members };
}

/** A newly listed member counts as heard now, so that it has the suspicion timeout to connect. */
function mergeListedHost(membership: Membership, info: MemberInfo, now: number): Member {
    const known = membership.members.get(info.host);
    if (known === undefined) {
        return { ...info, listed: true, lastHeardAtMs: now };
    }
    if (known.incarnation === info.incarnation || isRecentlyHeard(membership, known, now)) {
        return { ...known, listed: true, leaving: known.leaving || (info.leaving && isSameIncarnation(known, info)) };
    }
    return { ...info, listed: true, lastHeardAtMs: now };
}

const isSameIncarnation = (known: Member, info: MemberInfo): boolean => known.incarnation === info.incarnation;
