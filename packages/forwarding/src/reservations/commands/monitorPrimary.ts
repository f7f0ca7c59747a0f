import type { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";

/**
 * Interval of the probes. With two failed ones, memory is released about two seconds after the endpoint has gone, below
 * the limit on unused reservations (`free_ms`).
 */
const PROBE_INTERVAL_MS = 800;
/** Time after which a probe counts as failed. A probe has a shorter limit of its own, which does not cover all that may hang. */
const PROBE_LIMIT_MS = 400;
/** Number of failed probes in a row. A lost packet makes one fail. */
const MAX_FAILED_PROBES = 2;

export interface PrimaryMonitorOptions {
    /** Probes the endpoint that uses the reserved memory. */
    readonly probe: () => ReturnType<typeof probeEndpoint>;
    /** Returns whether the stream has stalled, although the endpoint may reply to probes. */
    readonly hasStalled: (nowMs: number) => boolean;
    /** Called once, when the endpoint has not replied to probes in a row, or the stream has stalled. */
    readonly onUnresponsive: () => void;
}

/**
 * Probes an endpoint for as long as it uses memory that is reserved at others. A stalled attempt may go on until its
 * deadline, so its end is too late to release the memory. Returns a function that stops the probes.
 */
export function monitorPrimary({ probe, hasStalled, onUnresponsive }: PrimaryMonitorOptions): () => void {
    let failed = 0;
    let isStopped = false;
    let cancel: () => void = () => undefined;
    const check = async (): Promise<void> => {
        const report = await limitProbe(probe);
        if (isStopped) {
            return;
        }
        failed = report === undefined ? failed + 1 : 0;
        if (failed >= MAX_FAILED_PROBES || hasStalled(performance.now())) {
            onUnresponsive();
            return;
        }
        schedule();
    };
    const schedule = (): void => {
        cancel = startTimeout(PROBE_INTERVAL_MS, () => void check());
    };
    schedule();
    return () => {
        isStopped = true;
        cancel();
    };
}

/** Resolves with `undefined` if the probe has not ended after `PROBE_LIMIT_MS`. */
function limitProbe(probe: PrimaryMonitorOptions["probe"]): ReturnType<PrimaryMonitorOptions["probe"]> {
    return new Promise((resolve, reject) => {
        const cancel = startTimeout(PROBE_LIMIT_MS, () => resolve(undefined));
        probe().then(resolve, reject).finally(cancel);
    });
}
