/** Jittered exponential backoff towards a platform service that fails. */

export interface BackoffOptions {
    /** First longest wait in milliseconds. It doubles with each further failure. */
    readonly baseMs?: number;
    readonly maxMs?: number;
    /** Failures in a row after which requests are held back. */
    readonly failuresToTrip?: number;
    /** Random number from 0 to 1. */
    readonly random?: () => number;
}

const defaultOptions = {
    baseMs: 100,
    maxMs: 5_000,
    // One or two failures are usually one lost connection, and the reader of a lost answer needs the next request.
    failuresToTrip: 3,
    random: Math.random,
} satisfies BackoffOptions;

export interface Backoff {
    /** Whether a request may be sent now. While the service fails, one request at a time is let through as a probe. */
    admit(nowMs: number): boolean;
    recordSuccess(): void;
    recordFailure(nowMs: number): void;
}

/** Creates a backoff. Its jitter keeps the hosts from all returning at the moment when the service recovers. */
export function createBackoff(options: BackoffOptions = {}): Backoff {
    const settings = { ...defaultOptions, ...options };
    let failures = 0;
    let retryAtMs = 0;
    return {
        admit: nowMs => {
            if (failures < settings.failuresToTrip) {
                return true;
            }
            if (nowMs < retryAtMs) {
                return false;
            }
            retryAtMs = nowMs + computeWait(settings, failures);
            return true;
        },
        recordSuccess: () => {
            failures = 0;
        },
        recordFailure: nowMs => {
            failures += 1;
            retryAtMs = nowMs + computeWait(settings, failures);
        },
    };
}

/** Wait between half of and the whole exponential step. */
function computeWait(settings: Required<BackoffOptions>, failures: number): number {
    const step = Math.min(settings.maxMs, settings.baseMs * 2 ** Math.max(0, failures - settings.failuresToTrip));
    return step / 2 * (1 + settings.random());
}
