import { type HeldFact, shouldSendAcrossDomains, takeBatch } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { isWritable, sendMessage } from "./sendMessage.js";

/**
 * Sends the queued facts to the peers of the local failure domain, or to those of other domains. Skips connections
 * whose send buffer is full; their facts stay queued.
 */
export function flushFacts(context: HostContext, scope: "domain" | "remote"): void {
    const { fleet } = context;
    for (const connection of fleet.connections.values()) {
        const isRemote = connection.failureDomain !== fleet.failureDomain;
        if (isRemote === (scope === "remote") && isWritable(connection)) {
            flushConnection(context, connection);
        }
    }
}

function flushConnection(context: HostContext, connection: PeerConnection): void {
    const { fleet } = context;
    const now = performance.now();
    const isRemote = connection.failureDomain !== fleet.failureDomain;
    const shouldSend = isRemote
        ? (entry: HeldFact) => checkSendAcrossDomains(context, connection, entry, now)
        : undefined;
    const batch = takeBatch(fleet.gossip, connection.host, now, shouldSend);
    fleet.gossip = batch.gossipState;
    if (batch.facts.length > 0) {
        sendMessage(context, connection.socket, { type: "facts", facts: batch.facts });
    }
}

/** Whether a fact is to be sent now over a connection to another failure domain. Records it as sent if so. */
export function checkSendAcrossDomains(
    context: HostContext,
    connection: PeerConnection,
    entry: HeldFact,
    now: number,
): boolean {
    const { key, fact } = entry.versioned;
    const shouldSend = shouldSendAcrossDomains(
        context.fleet.membership,
        entry.versioned,
        connection.sentFacts.get(key),
        now,
    );
    if (shouldSend) {
        connection.sentFacts.set(key, { fact, sentAtMs: now });
    }
    return shouldSend;
}

/**
 * Schedules a flush of all queued facts for the end of the current event-loop iteration, for facts that must not wait
 * for the next batch.
 */
export function scheduleFlush(context: HostContext): void {
    if (context.fleet.isFlushScheduled) {
        return;
    }
    context.fleet.isFlushScheduled = true;
    setImmediate(() => {
        context.fleet.isFlushScheduled = false;
        flushFacts(context, "domain");
        flushFacts(context, "remote");
    });
}
