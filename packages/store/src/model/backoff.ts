/** Circuit breaker with jittered exponential backoff for requests to a failing platform service. */

export interface BackoffOptions {
    /** Upper bound of the first wait, in milliseconds. It doubles with each further failure, up to `maxMs`. */
    readonly baseMs?: number;
    readonly maxMs?: number;
    /** Consecutive failures after which requests are suspended. */
    readonly failureThreshold?: number;
    /** Source of random numbers from 0 to 1 for the jitter. */
    readonly random?: () => number;
}

const defaultOptions = {
    baseMs: 100,
    maxMs: 5_000,
    // One or two failures usually come from a single lost connection. After a lost response the client has to read back
    // whether its write took effect, so that request must not be suspended.
    failureThreshold: 3,
    random: Math.random,
} satisfies BackoffOptions;

/** State of the requests to one service. All times are in milliseconds of a monotonic clock. */
export interface Backoff {
    /** Whether a request may be sent now. While requests are suspended, one is admitted as a probe after each wait. */
    admit(nowMs: number): boolean;
    recordSuccess(): void;
    recordFailure(nowMs: number): void;
}

/** Creates a backoff. The jitter prevents all hosts from retrying at the same moment when the service recovers. */
export function createBackoff(options: BackoffOptions = {}): Backoff {
    const settings = { ...defaultOptions, ...options };
    let failures = 0;
    let nextProbeAtMs = 0;
    return {
        admit: nowMs => {
            if (failures < settings.failureThreshold) {
                return true;
            }
            if (nowMs < nextProbeAtMs) {
                return false;
            }
            nextProbeAtMs = nowMs + computeWait(settings, failures);
            return true;
        },
        recordSuccess: () => {
            failures = 0;
        },
        recordFailure: nowMs => {
            failures += 1;
            nextProbeAtMs = nowMs + computeWait(settings, failures);
        },
    };
}

/** Computes a random wait between half of the exponential step and the whole step. */
function computeWait(settings: Required<BackoffOptions>, failures: number): number {
    const step = Math.min(settings.maxMs, settings.baseMs * 2 ** Math.max(0, failures - settings.failureThreshold));
    return step / 2 * (1 + settings.random());
}
