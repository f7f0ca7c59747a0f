import type { RunningServer } from "@currantrill/http";
import type { HostContext } from "../model/hostContext.js";

const POLL_MS = 50;
/** Time for the last releases of memory to be confirmed; an engine drops the rest after its time to live. */
const RELEASE_LIMIT_MS = 5_000;

/**
 * Ends the service of callers without interrupting a request: waits until the load balancer has noticed, stops accepting
 * connections, and resolves when the requests in flight, the recorded calls and the releases of memory have ended.
 */
export async function drainRequests(context: HostContext, callers: RunningServer): Promise<void> {
    await waitMs(context.settings.drain.notice_ms);
    await callers.drain();
    await Promise.all(context.openCalls);
    const limitMs = performance.now() + RELEASE_LIMIT_MS;
    while (context.allocations.countHeld() > 0 && performance.now() < limitMs) {
        await waitMs(POLL_MS);
    }
}

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
