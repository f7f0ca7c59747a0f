/** Membership as known to one host, from the platform's host list, which lags, and from heartbeats. */
import type { FailureDomainId, HostId, IncarnationId } from "@currantrill/protocol";

/** Time without a heartbeat after which a member of the local domain is suspect: three refreshes of its host fact. */
export const SUSPICION_TIMEOUT_MS = 15_000;
/** The same for members of remote domains, whose host facts are forwarded every 30 s and queued in more batches. */
export const REMOTE_SUSPICION_TIMEOUT_MS = 75_000;

export interface Member {
    readonly host: HostId;
    readonly incarnation: IncarnationId;
    readonly failureDomain: FailureDomainId;
    /** `ip:port` of the peer listener. */
    readonly peerAddress: string;
    readonly leaving: boolean;
    /** Whether the latest read of the host list contained the host. */
    readonly listed: boolean;
    /** Time of the last heartbeat, direct or gossiped, on this host's monotonic clock. */
    readonly lastHeardAtMs: number;
}

/** Contents of a heartbeat or of an entry of the host list. */
export type MemberInfo = Omit<Member, "listed" | "lastHeardAtMs">;

export interface Membership {
    readonly self: HostId;
    readonly failureDomain: FailureDomainId;
    readonly members: ReadonlyMap<HostId, Member>;
}

/** Creates a membership that contains the host itself. */
export function createMembership(self: MemberInfo, now: number): Membership {
    const member = { ...self, listed: false, lastHeardAtMs: now };
    return { self: self.host, failureDomain: self.failureDomain, members: new Map([[self.host, member]]) };
}
