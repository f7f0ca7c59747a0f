import type { EndpointDigest, Fact, HostId, VersionedFact } from "@currantrill/protocol";
import type { Membership } from "../model/member.js";
import { remoteThresholds, shouldPublishDigest } from "./shouldPublishDigest.js";

/** Refresh interval of a host fact between domains. Members of remote domains are also known from the host list. */
export const REMOTE_HOST_REFRESH_MS = 30_000;

/** A fact as last sent over a connection to a remote domain. */
export interface SentFact {
    readonly fact: Fact;
    readonly sentAtMs: number;
}

type CrossDomainRule = (fact: Fact, last: SentFact | undefined, elapsedMs: number) => boolean;

const crossDomainRules: Record<Fact["kind"], CrossDomainRule> = {
    endpoint: (fact, last, elapsedMs) =>
        shouldPublishDigest(
            last?.fact as EndpointDigest | undefined,
            fact as EndpointDigest,
            elapsedMs,
            remoteThresholds,
        ),
    host: (fact, last, elapsedMs) =>
        last === undefined || elapsedMs >= REMOTE_HOST_REFRESH_MS || isHostChange(last.fact, fact),
    // Remote domains receive the sum over the domain, whose scope is the domain.
    demand: fact => fact.kind === "demand" && fact.isDomainSum,
    stop: () => true,
};

const isHostChange = (last: Fact, next: Fact): boolean =>
    last.kind === "host" && next.kind === "host" && (last.leaving !== next.leaving || last.revision !== next.revision);

/**
 * Whether a gateway host sends a fact to a gateway host of a remote domain. The load of a third domain is not
 * forwarded: that domain sends it itself, and where it cannot, its endpoints cannot be reached either. Stops take any
 * path.
 */
export function shouldSendAcrossDomains(
    membership: Membership,
    versioned: VersionedFact,
    last: SentFact | undefined,
    now: number,
): boolean {
    const isLocalOrigin = isInLocalDomain(membership, versioned.origin);
    if (!isLocalOrigin && versioned.fact.kind !== "stop") {
        return false;
    }
    const elapsedMs = last === undefined ? Infinity : now - last.sentAtMs;
    return crossDomainRules[versioned.fact.kind](versioned.fact, last, elapsedMs);
}

const isInLocalDomain = (membership: Membership, host: HostId): boolean =>
    membership.members.get(host)?.failureDomain === membership.failureDomain;
