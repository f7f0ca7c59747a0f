import type { probeEndpoint } from "../../endpoints/commands/probeEndpoint.js";
import { startTimeout } from "../../endpoints/model/startTimeout.js";

/**
 * Interval of the probes. With two failed ones, memory is released about two seconds after the endpoint has gone, below
 * the limit on unused reservations (`free_ms`).
 */
const PROBE_INTERVAL_MS = 800;
/** Number of failed probes in a row. A lost packet makes one fail. */
const MAX_FAILED_PROBES = 2;

export interface PrimaryMonitorOptions {
    /** Probes the endpoint that uses the reserved memory. */
    readonly probe: () => ReturnType<typeof probeEndpoint>;
    /** Called once, when the endpoint has not replied to probes in a row. */
    readonly onUnresponsive: () => void;
}

/**
 * Probes an endpoint for as long as it uses memory that is reserved at others. A stalled attempt may go on until its
 * deadline, so its end is too late to release the memory. Returns a function that stops the probes.
 */
export function monitorPrimary({ probe, onUnresponsive }: PrimaryMonitorOptions): () => void {
    let failed = 0;
    let isStopped = false;
    let cancel: () => void = () => undefined;
    const check = async (): Promise<void> => {
        const report = await probe();
        if (isStopped) {
            return;
        }
        failed = report === undefined ? failed + 1 : 0;
        if (failed >= MAX_FAILED_PROBES) {
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
