import type { EndpointDigest } from "@currantrill/protocol";

/** Shortest time between two digests of an endpoint whose load alone has changed. */
export const DIGEST_MIN_INTERVAL_MS = 2_000;
/** Longest time between two digests of an endpoint. */
export const DIGEST_REFRESH_MS = 5_000;

export interface DigestThresholds {
    /** Change of the queued prefill work that is worth a digest, in tokens. */
    readonly prefillTokens: number;
    /** Change of a load figure that is worth a digest, relative to the larger value. */
    readonly relative: number;
    /** Change of the used memory that is worth a digest, relative to the whole memory. */
    readonly memory: number;
    readonly minIntervalMs: number;
    readonly refreshMs: number;
}

export const defaultThresholds: DigestThresholds = {
    prefillTokens: 4_000,
    relative: 0.2,
    memory: 0.05,
    minIntervalMs: DIGEST_MIN_INTERVAL_MS,
    refreshMs: DIGEST_REFRESH_MS,
};

/**
 * Thresholds for digests that cross domains. A host prefers endpoints of its own domain, so it needs the load of
 * remote ones less exactly; sent as often as within a domain, they would take most of the control traffic.
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

/** Whether what the endpoint may be used for has changed, as opposed to its load. */
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
