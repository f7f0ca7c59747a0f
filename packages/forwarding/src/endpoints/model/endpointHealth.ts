/** What a host believes of an endpoint from its own requests. */

export interface EndpointHealth {
    /** Recent failures, halved every `FAILURE_HALF_LIFE_MS`. */
    readonly failures: number;
    readonly updatedAtMs: number;
    /** Set while the endpoint did not answer at all; it is probed until it answers. */
    readonly isSilent: boolean;
    /** When the endpoint last answered the host. */
    readonly answeredAtMs: number;
    /** Time of its work relative to the published figures, as it reported last; 1 is as published. */
    readonly pace: number;
    readonly paceAtMs: number;
}

/** Failures of one in fifty requests leave little trace; a failing endpoint is avoided within two requests. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** A reported pace counts for this time; endpoints are asked every second. */
const PACE_VALID_MS = 3_000;
const MAX_PACE = 20;

export const createEndpointHealth = (nowMs: number): EndpointHealth => ({
    failures: 0,
    updatedAtMs: nowMs,
    isSilent: false,
    answeredAtMs: -Infinity,
    pace: 1,
    paceAtMs: -Infinity,
});

/** Number of recent failures at a time. */
export const getFailures = (health: EndpointHealth, nowMs: number): number =>
    health.failures * 0.5 ** (Math.max(0, nowMs - health.updatedAtMs) / FAILURE_HALF_LIFE_MS);

export const recordFailure = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...health,
    failures: getFailures(health, nowMs) + 1,
    updatedAtMs: nowMs,
});

/** Records that an endpoint did not answer a connection or a request in time. */
export const recordSilence = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...recordFailure(health, nowMs),
    isSilent: true,
});

export const recordAnswer = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...health,
    isSilent: false,
    answeredAtMs: nowMs,
});

/** Records the pace that an endpoint reports of itself. */
export const recordPace = (health: EndpointHealth, pace: number, nowMs: number): EndpointHealth => ({
    ...health,
    pace: Math.min(MAX_PACE, Math.max(1, pace)),
    paceAtMs: nowMs,
});

/** The pace that was reported lately, `undefined` if none was. */
export const getPace = (health: EndpointHealth, nowMs: number): number | undefined =>
    nowMs - health.paceAtMs < PACE_VALID_MS ? health.pace : undefined;
