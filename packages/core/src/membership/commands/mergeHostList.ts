import type { HostId } from "@currantrill/protocol";
import type { Member, MemberInfo, Membership } from "../model/member.js";
import { isHeard } from "../queries/listMembers.js";

/**
 * Adopts a read of the host list. The list lags, so a host that was heard of recently stays a member although the list
 * does not have it, and the incarnation of a heartbeat is kept over the one of the list.
 */
export function mergeHostList(membership: Membership, listed: readonly MemberInfo[], now: number): Membership {
    const members = new Map<HostId, Member>();
    for (const info of listed) {
        members.set(info.host, mergeListed(membership, info, now));
    }
    for (const member of membership.members.values()) {
        const stays = member.host === membership.self || isHeard(membership, member, now);
        if (!members.has(member.host) && stays) {
            members.set(member.host, { ...member, listed: false });
        }
    }
    return { ...membership, members };
}

/** A member that is new in the list counts as heard of now, so that it gets the suspicion time to connect. */
function mergeListed(membership: Membership, info: MemberInfo, now: number): Member {
    const known = membership.members.get(info.host);
    if (known === undefined) {
        return { ...info, listed: true, heardAtMs: now };
    }
    if (known.incarnation === info.incarnation || isHeard(membership, known, now)) {
        return { ...known, listed: true, leaving: known.leaving || (info.leaving && isSameRun(known, info)) };
    }
    return { ...info, listed: true, heardAtMs: now };
}

const isSameRun = (known: Member, info: MemberInfo): boolean => known.incarnation === info.incarnation;
