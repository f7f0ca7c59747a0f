import { type HeldFact, shouldCrossDomains, takeBatch } from "@currantrill/core";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { isWritable, sendMessage } from "./sendMessage.js";

/** Sends the waiting facts over the connections within the domain, or over those to other domains. */
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
    const passes = isRemote ? (held: HeldFact) => checkCrossing(context, connection, held, now) : undefined;
    const batch = takeBatch(fleet.flood, connection.host, now, passes);
    fleet.flood = batch.flood;
    if (batch.facts.length > 0) {
        sendMessage(context, connection.socket, { type: "facts", facts: batch.facts });
    }
}

/** Whether a fact crosses to another domain now. Remembers it as sent if so. */
export function checkCrossing(context: HostContext, connection: PeerConnection, held: HeldFact, now: number): boolean {
    const { key, fact } = held.versioned;
    const passes = shouldCrossDomains(context.fleet.membership, held.versioned, connection.sent.get(key), now);
    if (passes) {
        connection.sent.set(key, { fact, sentAtMs: now });
    }
    return passes;
}

/** Sends all waiting facts as soon as the current message is handled, for facts that must not wait for a batch. */
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
