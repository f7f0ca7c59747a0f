/** Graceful shutdown of a forwarding host. */
import type { ForwardingContext } from "../model/forwardingContext.js";
import type { ForwardingServers } from "./serveForwarding.js";

/** Part of the grace time after which no connection is accepted; the load balancer has noticed by then. */
const NOTICE_SHARE = 0.35;
/** Part of the grace time after which the process ends even if requests are in flight. */
const END_SHARE = 0.93;
const CHECK_MS = 20;

/** Reports not ready, serves on while the load balancer notices, then waits for the requests in flight. */
export async function drainForwarding(context: ForwardingContext, servers: ForwardingServers): Promise<void> {
    const graceMs = context.settings.drain.grace_ms;
    const startedAtMs = performance.now();
    context.isDraining = true;
    context.log.info({ inFlight: context.inFlight, graceMs }, "host: draining");
    await sleep(graceMs * NOTICE_SHARE);
    const closed = servers.callers.drain();
    const endAtMs = startedAtMs + graceMs * END_SHARE;
    await Promise.race([closed, waitUntil(() => context.inFlight === 0 || performance.now() >= endAtMs)]);
    if (context.inFlight > 0) {
        context.log.warn({ inFlight: context.inFlight }, "host: requests in flight at the end of the grace time");
    }
    await servers.callers.close();
    await servers.close();
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

async function waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await sleep(CHECK_MS);
    }
}
