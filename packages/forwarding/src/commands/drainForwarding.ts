/** Graceful shutdown of a forwarding host. */
import { awaitReads } from "@currantrill/http";
import type { ForwardingContext } from "../model/forwardingContext.js";
import type { Exchange } from "../requests/model/exchange.js";
import type { ForwardingServers } from "./serveForwarding.js";

/** Fraction of the grace time after which no connection is accepted; the load balancer has noticed by then. */
const DRAIN_NOTICE_FRACTION = 0.35;
/** Fraction of the grace time after which requests in flight get their final answer. */
const DRAIN_END_FRACTION = 0.92;
/**
 * Fraction of the grace time in which these answers are sent, before the connections are closed. A process whose processor
 * quota is used up does not run for up to 0.1 s, so it is several times that in a grace time of 8 s.
 */
const FLUSH_FRACTION = 0.04;
/**
 * Largest fraction of the grace time by which a stop signal is taken to have waited. A host that was suspended for longer
 * cannot tell when the signal came, and its requests in flight get the rest.
 */
const MAX_DELAY_FRACTION = 0.125;
/** Interval at which the number of requests in flight is checked. */
const DRAIN_POLL_MS = 20;

/** State of the host that a drain uses. */
export interface DrainContext extends Pick<ForwardingContext, "settings" | "log" | "shutdown"> {
    readonly exchanges: ReadonlySet<Pick<Exchange, "onStop">>;
}

/** Servers that a drain closes. */
export interface DrainedServers extends Pick<ForwardingServers, "close"> {
    readonly callers: Pick<ForwardingServers["callers"], "drain" | "countPending" | "failIncomplete" | "close">;
}

/**
 * Drains a host: reports not ready, goes on serving until the load balancer has noticed, then stops accepting
 * connections and waits for the requests in flight. Those that have not ended by then get a final answer. Resolves when
 * all servers are closed. The grace time counts from `delayMs` ago, when the stop signal may have arrived.
 */
export async function drainForwarding(
    context: DrainContext,
    servers: DrainedServers,
    delayMs: number,
): Promise<void> {
    const graceMs = context.settings.drain.grace_ms;
    const startedAtMs = performance.now() - Math.min(delayMs, graceMs * MAX_DELAY_FRACTION);
    const noticedAtMs = startedAtMs + graceMs * DRAIN_NOTICE_FRACTION;
    const stopsAtMs = startedAtMs + graceMs * DRAIN_END_FRACTION;
    context.shutdown = { startedAtMs, noticedAtMs, stopsAtMs };
    context.log.info({ inFlight: context.exchanges.size, graceMs }, "host: draining");
    await sleep(noticedAtMs - performance.now());
    const closed = servers.callers.drain();
    // Requests whose body is still being received, and responses that are still being sent, count as well.
    const waitForPending = async (endAtMs: number): Promise<void> => {
        const hasEnded = (): boolean => servers.callers.countPending() === 0 || performance.now() >= endAtMs;
        do {
            await waitUntil(hasEnded);
            // A request may wait on a connection that would be closed now.
            await awaitReads();
        }
        while (!hasEnded());
    };
    await Promise.race([closed, waitForPending(stopsAtMs)]);
    const pending = servers.callers.countPending();
    if (pending > 0) {
        context.log.warn(
            { inFlight: context.exchanges.size, pending },
            "host: requests in flight at the end of the grace time",
        );
        context.exchanges.forEach(exchange => exchange.onStop());
        servers.callers.failIncomplete();
        await waitForPending(stopsAtMs + graceMs * FLUSH_FRACTION);
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
