import { type HeldFact, listSnapshot, mergeFacts, recordHeartbeat } from "@currantrill/core";
import type { HostId, VersionedFact } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import type { PeerConnection } from "../model/fleet.js";
import { checkCrossing, scheduleFlush } from "./flushFacts.js";
import { sendMessage } from "./sendMessage.js";

/** Merges facts from a peer and passes the new ones on. Stops are passed on at once. */
export function receiveFacts(context: HostContext, from: HostId, facts: readonly VersionedFact[]): void {
    const { fleet } = context;
    const merged = mergeFacts(fleet.flood, from, facts, performance.now());
    fleet.flood = merged.flood;
    for (const versioned of merged.accepted) {
        recordSignOfLife(context, versioned);
        fleet.listeners.forEach(listener => listener(versioned));
    }
    if (merged.accepted.some(({ fact }) => fact.kind === "stop")) {
        scheduleFlush(context);
    }
}

function recordSignOfLife(context: HostContext, { fact, incarnation }: VersionedFact): void {
    const { fleet } = context;
    if (fact.kind !== "host" || fact.host === fleet.self) {
        return;
    }
    const { host, failureDomain, peerAddress, leaving } = fact;
    const info = { host, incarnation, failureDomain, peerAddress, leaving };
    fleet.membership = recordHeartbeat(fleet.membership, info, performance.now());
}

/** Sends the facts that a newly connected peer may use: all within the domain, those that cross to another domain. */
export function sendSnapshot(context: HostContext, connection: PeerConnection): void {
    const { fleet } = context;
    const now = performance.now();
    const isRemote = connection.failureDomain !== fleet.failureDomain;
    const passes = (held: HeldFact): boolean => !isRemote || checkCrossing(context, connection, held, now);
    const facts = listSnapshot(fleet.flood, now, passes);
    sendMessage(context, connection.socket, {
        type: "snapshot",
        facts,
        revision: context.configuration.current.revision,
    });
}
