import type { MemberInfo, Membership } from "../model/member.js";

/** Records a heartbeat of a host, received directly or through gossip. */
export function recordHeartbeat(membership: Membership, info: MemberInfo, now: number): Membership {
    const known = membership.members.get(info.host);
    const members = new Map(membership.members);
    members.set(info.host, { ...info, listed: known?.listed ?? false, lastHeardAtMs: now });
    return { ...membership, members };
}
