/** Bounds of the delay before a retry, in milliseconds. */
export interface BackoffOptions {
    /** Upper bound of the first delay. */
    readonly baseMs: number;
    /** Upper bound of any delay. */
    readonly maxMs: number;
}

export const defaultBackoffOptions: BackoffOptions = { baseMs: 50, maxMs: 5_000 };

/**
 * Computes the delay before a retry, in milliseconds: exponential backoff with full jitter. `attempt` counts from 1 and
 * doubles the upper bound each time; `fraction` is a random number from 0 (included) to 1 (excluded).
 */
export function computeBackoff(attempt: number, fraction: number, options: Partial<BackoffOptions> = {}): number {
    const { baseMs, maxMs } = { ...defaultBackoffOptions, ...options };
    return fraction * Math.min(maxMs, baseMs * 2 ** (attempt - 1));
}
