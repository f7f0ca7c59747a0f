/** What a host believes of an endpoint from its own requests. */

export interface EndpointHealth {
    /** Recent failures, halved every `FAILURE_HALF_LIFE_MS`. */
    readonly failures: number;
    readonly updatedAtMs: number;
    /** Set while the endpoint did not answer at all; it is probed until it answers. */
    readonly isSilent: boolean;
    /** Observed time of a pass relative to the published figures, 1 is as published. */
    readonly pace: number;
}

/** Failures of one in fifty requests leave little trace; a failing endpoint is avoided within two requests. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Weight of one observation of the pace. */
const PACE_WEIGHT = 0.2;
const MAX_PACE = 20;

export const createEndpointHealth = (nowMs: number): EndpointHealth => ({
    failures: 0,
    updatedAtMs: nowMs,
    isSilent: false,
    pace: 1,
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

export const recordAnswer = (health: EndpointHealth): EndpointHealth =>
    health.isSilent ? { ...health, isSilent: false } : health;

/** Records the ratio of an observed time to the expected one. */
export const recordPace = (health: EndpointHealth, ratio: number): EndpointHealth => ({
    ...health,
    pace: Math.min(MAX_PACE, Math.max(1, health.pace + PACE_WEIGHT * (ratio - health.pace))),
});
