/** Graceful shutdown of a forwarding host. */
import type { ForwardingContext } from "../model/forwardingContext.js";
import type { ForwardingServers } from "./serveForwarding.js";

/** Fraction of the grace time after which no connection is accepted; the load balancer has noticed by then. */
const DRAIN_NOTICE_FRACTION = 0.35;
/** Fraction of the grace time after which the process ends even if requests are in flight. */
const DRAIN_END_FRACTION = 0.93;
/** Interval at which the number of requests in flight is checked. */
const DRAIN_POLL_MS = 20;

/**
 * Drains a host: reports not ready, goes on serving until the load balancer has noticed, then stops accepting
 * connections and waits for the requests in flight. Resolves when all servers are closed.
 */
export async function drainForwarding(context: ForwardingContext, servers: ForwardingServers): Promise<void> {
    const graceMs = context.settings.drain.grace_ms;
    const startedAtMs = performance.now();
    const endAtMs = startedAtMs + graceMs * DRAIN_END_FRACTION;
    context.isDraining = true;
    context.stopsAtMs = endAtMs;
    context.log.info({ inFlight: context.inFlight, graceMs }, "host: draining");
    await sleep(graceMs * DRAIN_NOTICE_FRACTION);
    const closed = servers.callers.drain();
    // Requests whose body is still being received, and responses that are still being sent, count as well.
    await Promise.race([
        closed,
        waitUntil(() => servers.callers.countPending() === 0 || performance.now() >= endAtMs),
    ]);
    const pending = servers.callers.countPending();
    if (pending > 0) {
        context.log.warn(
            { inFlight: context.inFlight, pending },
            "host: requests in flight at the end of the grace time",
        );
    }
    await servers.callers.close();
    await servers.close();
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

async function waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await sleep(DRAIN_POLL_MS);
    }
}
