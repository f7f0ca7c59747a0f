/** Callers disconnect after a pause of 2 s, or of eight times the pause that their route allows, whichever is longer. */
const MIN_CALLER_PAUSE_MS = 2_000;
const CALLER_PAUSE_FACTOR = 8;

export interface StallCheckOptions {
    /** Number of events that the attempt has forwarded. */
    readonly countEvents: () => number;
    /** Whether reading waits for the caller, so that no events are expected. */
    readonly isWaitingForCaller: () => boolean;
    /** Pause between events that the route allows. */
    readonly targetPauseMs: number;
}

/**
 * Creates a check, to be repeated, of whether a stream that had begun has stalled for longer than its caller waits. The
 * time before the first event does not count, since a long prompt may be in its prefill.
 */
export function createStallCheck(options: StallCheckOptions): (nowMs: number) => boolean {
    const limitMs = Math.max(MIN_CALLER_PAUSE_MS, CALLER_PAUSE_FACTOR * options.targetPauseMs);
    let lastEvents = 0;
    let lastProgressAtMs = -Infinity;
    return nowMs => {
        const events = options.countEvents();
        if (events === 0 || events !== lastEvents || options.isWaitingForCaller()) {
            lastEvents = events;
            lastProgressAtMs = nowMs;
        }
        return nowMs - lastProgressAtMs >= limitMs;
    };
}
