import type Logger from "bunyan";
import type { EventEmitter } from "node:events";

export interface StopSignalOptions {
    /** Emits the signals of this process. */
    readonly source: Pick<EventEmitter, "on" | "once">;
    readonly log: Logger;
    /**
     * Shuts the host down gracefully. The signal may have arrived `delayMs` before, from when the grace time counts.
     * Further calls return the same promise.
     */
    readonly drain: (delayMs: number) => Promise<void>;
    readonly exit: () => void;
    /** Returns for how long no event has been handled, see `createLoopDelayMonitor`. Always 0 by default. */
    readonly getDelayMs?: () => number;
}

/**
 * Shuts the host down on SIGTERM or SIGINT. Further SIGTERMs change nothing: without a listener they would end the
 * process at once, with all requests in flight. A second SIGINT does, for those who run a host in a terminal.
 */
export function handleStopSignals(
    { source, log, drain, exit, getDelayMs = () => 0 }: StopSignalOptions,
): void {
    const stop = (signal: string): void => {
        const delayMs = Math.round(getDelayMs());
        log.info({ signal, delayMs }, "host: stop signal received");
        void drain(delayMs)
            .catch((error: unknown) => log.error({ err: error }, "host: shutdown failed"))
            .then(exit);
    };
    source.on("SIGTERM", () => stop("SIGTERM"));
    source.once("SIGINT", () => stop("SIGINT"));
}
