import { type HeldFact, listSnapshot, mergeFacts, recordHeartbeat } from "@currantrill/core";
import type { HostId, VersionedFact } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { checkSendAcrossDomains, scheduleFlush } from "./flushFacts.js";
import { sendMessage } from "./sendMessage.js";

/**
 * Merges the facts that a peer has sent, queues the new ones for the other peers and calls the listeners with them.
 * Stops are forwarded immediately instead of with the next batch.
 */
export function receiveFacts(context: HostContext, from: HostId, facts: readonly VersionedFact[]): void {
    const { fleet } = context;
    const merged = mergeFacts(fleet.gossip, from, facts, performance.now());
    fleet.gossip = merged.gossipState;
    for (const versioned of merged.accepted) {
        recordHostHeartbeat(context, versioned);
        fleet.factListeners.forEach(listener => listener(versioned));
    }
    if (merged.accepted.some(({ fact }) => fact.kind === "stop")) {
        scheduleFlush(context);
    }
}

/** Records a fact of kind `host` of another host as its heartbeat. */
function recordHostHeartbeat(context: HostContext, { fact, incarnation }: VersionedFact): void {
    const { fleet } = context;
    if (fact.kind !== "host" || fact.host === fleet.self) {
        return;
    }
    const { host, failureDomain, peerAddress, leaving } = fact;
    const info = { host, incarnation, failureDomain, peerAddress, leaving };
    fleet.membership = recordHeartbeat(fleet.membership, info, performance.now());
}

/**
 * Sends a snapshot of the facts to a peer: all facts within the failure domain, and to another domain only those that
 * are sent across domains.
 */
export function sendSnapshot(context: HostContext, connection: PeerConnection): void {
    const { fleet } = context;
    const now = performance.now();
    const isRemote = connection.failureDomain !== fleet.failureDomain;
    const shouldSend = (entry: HeldFact): boolean =>
        !isRemote || checkSendAcrossDomains(context, connection, entry, now);
    const facts = listSnapshot(fleet.gossip, now, shouldSend);
    sendMessage(context, connection.socket, {
        type: "snapshot",
        facts,
        revision: context.configuration.current.revision,
    });
}
