/** Hosts of the fleet as one host sees them: the platform's host list, which lags, and heartbeats. */
import type { FailureDomainId, HostId, IncarnationId } from "@currantrill/protocol";

/** A member of the own domain that has not been heard of for this long is suspect: three refreshes of its host fact. */
export const SUSPICION_MS = 15_000;
/** The same for members of other domains, whose host facts are passed on every 30 s and wait in more batches. */
export const REMOTE_SUSPICION_MS = 75_000;

export interface Member {
    readonly host: HostId;
    readonly incarnation: IncarnationId;
    readonly failureDomain: FailureDomainId;
    /** `ip:port` of the peer listener. */
    readonly peerAddress: string;
    readonly leaving: boolean;
    /** Whether the last read of the host list contained the host. */
    readonly listed: boolean;
    /** Time of the last sign of life on the reader's monotonic clock. */
    readonly heardAtMs: number;
}

/** What a sign of life or a line of the host list says about a host. */
export type MemberInfo = Omit<Member, "listed" | "heardAtMs">;

export interface Membership {
    readonly self: HostId;
    readonly failureDomain: FailureDomainId;
    readonly members: ReadonlyMap<HostId, Member>;
}

/** Creates a membership that contains the host itself. */
export function createMembership(self: MemberInfo, now: number): Membership {
    const member = { ...self, listed: false, heardAtMs: now };
    return { self: self.host, failureDomain: self.failureDomain, members: new Map([[self.host, member]]) };
}
