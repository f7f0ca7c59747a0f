/**
 * Limits on the wait for the next event. The endpoint is probed after `probeAfterMs`; the attempt is aborted after
 * `abortAfterMs`, so that another endpoint can be tried.
 */
export interface WaitLimits {
    readonly probeAfterMs: number;
    readonly abortAfterMs: number;
}

/** Generous limits: aborting a slow attempt at a busy endpoint would waste its work and repeat it elsewhere. */
export const getFirstEventLimits = (expectedMs: number): WaitLimits => ({
    probeAfterMs: 300 + 1.5 * expectedMs,
    abortAfterMs: 1_300 + 4 * expectedMs,
});

/**
 * Callers disconnect after a pause of 2 s, or of eight times the pause that their route allows. Nine of ten streams were
 * continued within 0.35 s after an abort under load (68 hosts, bursts of short prompts).
 */
export const getPauseLimits = (targetPauseMs: number): WaitLimits => ({
    probeAfterMs: Math.max(600, 1.5 * targetPauseMs),
    abortAfterMs: Math.max(1_500, 4 * targetPauseMs),
});
