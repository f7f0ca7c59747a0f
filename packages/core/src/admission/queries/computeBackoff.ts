export interface BackoffOptions {
    readonly baseMs: number;
    readonly maxMs: number;
}

export const defaultBackoffOptions: BackoffOptions = { baseMs: 50, maxMs: 5_000 };

/**
 * Delay before try number `attempt` (from 1) in milliseconds: full jitter over a bound that doubles. `fraction` is a
 * random number from 0 to 1.
 */
export function computeBackoff(attempt: number, fraction: number, options: Partial<BackoffOptions> = {}): number {
    const { baseMs, maxMs } = { ...defaultBackoffOptions, ...options };
    return fraction * Math.min(maxMs, baseMs * 2 ** (attempt - 1));
}
