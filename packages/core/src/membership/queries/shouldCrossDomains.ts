import type { EndpointDigest, Fact, HostId, VersionedFact } from "@currantrill/protocol";
import type { Membership } from "../model/member.js";
import { remoteThresholds, shouldPublishDigest } from "./shouldPublishDigest.js";

/** Refresh of a host fact between domains. Members of other domains are known from the host list as well. */
export const REMOTE_HOST_REFRESH_MS = 30_000;

/** A fact as it was last sent to a connection of another domain. */
export interface SentFact {
    readonly fact: Fact;
    readonly sentAtMs: number;
}

type CrossingRule = (fact: Fact, last: SentFact | undefined, elapsedMs: number) => boolean;

const crossingRules: Record<Fact["kind"], CrossingRule> = {
    endpoint: (fact, last, elapsedMs) =>
        shouldPublishDigest(
            last?.fact as EndpointDigest | undefined,
            fact as EndpointDigest,
            elapsedMs,
            remoteThresholds,
        ),
    host: (fact, last, elapsedMs) =>
        last === undefined || elapsedMs >= REMOTE_HOST_REFRESH_MS || isHostChange(last.fact, fact),
    // Other domains get the sum over the domain, which has the domain as its scope.
    demand: fact => fact.kind === "demand" && fact.isDomainSum,
    stop: () => true,
};

const isHostChange = (last: Fact, next: Fact): boolean =>
    last.kind === "host" && next.kind === "host" && (last.leaving !== next.leaving || last.revision !== next.revision);

/**
 * Whether a relay sends a fact to a relay of another domain. Load of a third domain is not passed on: that domain sends
 * it itself, and where it cannot, its endpoints cannot be reached either. Stops take any path.
 */
export function shouldCrossDomains(
    membership: Membership,
    versioned: VersionedFact,
    last: SentFact | undefined,
    now: number,
): boolean {
    const isOwnDomain = isOfDomain(membership, versioned.origin);
    if (!isOwnDomain && versioned.fact.kind !== "stop") {
        return false;
    }
    const elapsedMs = last === undefined ? Infinity : now - last.sentAtMs;
    return crossingRules[versioned.fact.kind](versioned.fact, last, elapsedMs);
}

const isOfDomain = (membership: Membership, host: HostId): boolean =>
    membership.members.get(host)?.failureDomain === membership.failureDomain;
