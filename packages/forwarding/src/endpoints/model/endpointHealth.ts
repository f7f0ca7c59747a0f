/** Health of an endpoint as observed by this host through the requests and probes that it sends. */
export interface EndpointHealth {
    /** Decayed number of failures at `failuresUpdatedAtMs`; it halves every `FAILURE_HALF_LIFE_MS`. */
    readonly failures: number;
    readonly failuresUpdatedAtMs: number;
    /** Set when the endpoint did not respond at all. It is then probed until it responds again. */
    readonly isUnresponsive: boolean;
    /** Time of the last response to this host, on the monotonic clock; `-Infinity` if there was none. */
    readonly lastResponseAtMs: number;
    /** Processing time relative to the published figures, as last reported by the endpoint; 1 is as published. */
    readonly slowdown: number;
    readonly slowdownAtMs: number;
}

/**
 * With this half-life, one failure in fifty requests has little effect, while a failing endpoint is avoided within two
 * requests.
 */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Number of failures that a response over a limit counts as. */
const OVERSIZED_RESPONSE_FAILURES = 10;
/** Validity of a reported slowdown. Monitored endpoints are probed about once a second. */
const SLOWDOWN_VALID_MS = 3_000;
/** Upper bound on a reported slowdown. */
const MAX_SLOWDOWN = 20;

/** Creates the health of an endpoint without any observations. */
export const createEndpointHealth = (nowMs: number): EndpointHealth => ({
    failures: 0,
    failuresUpdatedAtMs: nowMs,
    isUnresponsive: false,
    lastResponseAtMs: -Infinity,
    slowdown: 1,
    slowdownAtMs: -Infinity,
});

/** Returns the decayed number of failures at `nowMs`. */
export const getFailures = (health: EndpointHealth, nowMs: number): number =>
    health.failures * 0.5 ** (Math.max(0, nowMs - health.failuresUpdatedAtMs) / FAILURE_HALF_LIFE_MS);

export const recordFailure = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...health,
    failures: getFailures(health, nowMs) + 1,
    failuresUpdatedAtMs: nowMs,
});

/**
 * Records that a response exceeded a limit. An endpoint that sends bytes without end does so again, and reading
 * such a response is costly, so that it is avoided for some ten seconds.
 */
export const recordOversizedResponse = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...health,
    failures: getFailures(health, nowMs) + OVERSIZED_RESPONSE_FAILURES,
    failuresUpdatedAtMs: nowMs,
});

/** Records that an endpoint did not accept a connection or did not respond in time. Also counts as a failure. */
export const markUnresponsive = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...recordFailure(health, nowMs),
    isUnresponsive: true,
});

/** Records a response. Its status does not matter: the endpoint is responsive. */
export const recordResponse = (health: EndpointHealth, nowMs: number): EndpointHealth => ({
    ...health,
    isUnresponsive: false,
    lastResponseAtMs: nowMs,
});

/** Records the slowdown that an endpoint reported, limited to the range from 1 to `MAX_SLOWDOWN`. */
export const recordSlowdown = (health: EndpointHealth, slowdown: number, nowMs: number): EndpointHealth => ({
    ...health,
    slowdown: Math.min(MAX_SLOWDOWN, Math.max(1, slowdown)),
    slowdownAtMs: nowMs,
});

/** Returns the reported slowdown, or `undefined` if there is none younger than `SLOWDOWN_VALID_MS`. */
export const getSlowdown = (health: EndpointHealth, nowMs: number): number | undefined =>
    nowMs - health.slowdownAtMs < SLOWDOWN_VALID_MS ? health.slowdown : undefined;
