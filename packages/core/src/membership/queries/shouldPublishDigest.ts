import type { EndpointDigest } from "@currantrill/protocol";

/** Minimum time between two load digests of an endpoint of which only the load has changed. */
export const DIGEST_MIN_INTERVAL_MS = 2_000;
/** Maximum time between two load digests of an endpoint. */
export const DIGEST_REFRESH_MS = 5_000;

/** Conditions for a new load digest, the summary of an endpoint's state that hosts send to each other. */
export interface DigestThresholds {
    /** Change of the queued prefill work that triggers a digest, in tokens. */
    readonly prefillTokens: number;
    /** Change of a load figure that triggers a digest, relative to the larger value. */
    readonly relative: number;
    /** Change of the used memory that triggers a digest, relative to the total memory. */
    readonly memory: number;
    readonly minIntervalMs: number;
    readonly refreshMs: number;
}

/** Thresholds for digests sent within a domain. */
export const defaultThresholds: DigestThresholds = {
    prefillTokens: 4_000,
    relative: 0.2,
    memory: 0.05,
    minIntervalMs: DIGEST_MIN_INTERVAL_MS,
    refreshMs: DIGEST_REFRESH_MS,
};

/**
 * Thresholds for digests sent between domains. A host prefers endpoints of its local domain, so it needs the load of
 * remote ones less precisely; sent as often as within a domain, they would make up most of the control traffic.
 */
export const remoteThresholds: DigestThresholds = {
    prefillTokens: 20_000,
    relative: 0.5,
    memory: 0.2,
    minIntervalMs: 20_000,
    refreshMs: 60_000,
};

/** Whether a digest differs enough from the last one sent. A change of state is always sent at once. */
export function shouldPublishDigest(
    last: EndpointDigest | undefined,
    next: EndpointDigest,
    elapsedMs: number,
    thresholds: DigestThresholds = defaultThresholds,
): boolean {
    if (last === undefined || isStateChange(last, next)) {
        return true;
    }
    if (elapsedMs < thresholds.minIntervalMs) {
        return false;
    }
    return elapsedMs >= thresholds.refreshMs || isLoadChange(last, next, thresholds);
}

/** Whether the endpoint's availability or models have changed, as opposed to its load. */
export function isStateChange(last: EndpointDigest, next: EndpointDigest): boolean {
    return last.withdrawn !== next.withdrawn
        || last.reachable !== next.reachable
        || last.models.join(",") !== next.models.join(",");
}

function isLoadChange(last: EndpointDigest, next: EndpointDigest, thresholds: DigestThresholds): boolean {
    const prefill = Math.abs(next.queuedPrefillTokens - last.queuedPrefillTokens);
    const running = Math.abs(next.runningRequests - last.runningRequests);
    const memory = Math.abs(next.memoryUsedTokens - last.memoryUsedTokens);
    return (prefill > thresholds.prefillTokens
        && prefill > thresholds.relative * Math.max(next.queuedPrefillTokens, last.queuedPrefillTokens))
        || (running > 1 && running > thresholds.relative * Math.max(next.runningRequests, last.runningRequests))
        || memory > thresholds.memory * Math.max(1, next.memoryTotalTokens);
}
