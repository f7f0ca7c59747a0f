import type { RunningServer } from "@currantrill/http";
import type { HostContext } from "../model/hostContext.js";

/** Interval at which held allocations are checked. */
const POLL_MS = 50;
/** Time limit for the release of the last allocations. Engines expire the remaining ones after their time to live. */
const RELEASE_TIMEOUT_MS = 5_000;

/**
 * Stops serving callers without interrupting a request: waits `drain.notice_ms` for the load balancer to remove the
 * host, stops accepting connections, and resolves when the requests in flight, the recorded calls and the releases of
 * allocations have ended.
 */
export async function drainRequests(context: HostContext, callers: RunningServer): Promise<void> {
    await waitMs(context.settings.drain.notice_ms);
    await callers.drain();
    await Promise.all(context.openCalls);
    const deadlineMs = performance.now() + RELEASE_TIMEOUT_MS;
    while (context.allocations.countHeld() > 0 && performance.now() < deadlineMs) {
        await waitMs(POLL_MS);
    }
}

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
