import { type Clocks, measureElapsed } from "@currantrill/protocol";
import type Logger from "bunyan";

/** Longest pause after which an endpoint is asked again, whatever it has stated. */
const MAX_PAUSE_MS = 60_000;

/** Time in which an endpoint wants no request of this host. */
export interface Pause {
    /** Extends the pause to a time from now on; never shortens it. */
    readonly extend: (ms: number, now: Clocks) => void;
    /** Returns the time that is left, in milliseconds. */
    readonly getRemainingMs: (now: Clocks) => number;
}

export interface PauseOptions {
    readonly endpointId: string;
    readonly log: Logger;
}

/** Creates a pause that has ended. */
export function createPause({ endpointId, log }: PauseOptions): Pause {
    let current: { readonly startedAt: Clocks; readonly ms: number; } | undefined;
    const getRemainingMs = (now: Clocks): number =>
        current === undefined ? 0 : Math.max(0, current.ms - measureElapsed(current.startedAt, now));
    return {
        getRemainingMs,
        extend: (requestedMs, now) => {
            const ms = Math.min(MAX_PAUSE_MS, requestedMs);
            const remainingMs = getRemainingMs(now);
            if (ms <= remainingMs) {
                return;
            }
            current = { startedAt: now, ms };
            if (remainingMs === 0) {
                log.info({ endpoint: endpointId, pauseMs: ms }, "endpoints: paused");
            }
        },
    };
}
