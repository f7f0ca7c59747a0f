import { publishFact as publishToGossip } from "@currantrill/core";
import type { Fact } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { scheduleFlush } from "./flushFacts.js";

export interface PublishOptions {
    /** Whether to send the fact immediately instead of with the next batch; by default only for stops. */
    readonly urgent?: boolean;
}

/** Publishes a fact of this host: calls the local listeners with it and queues it for all connected peers. */
export function publishFact(context: HostContext, fact: Fact, options: PublishOptions = {}): void {
    const { fleet } = context;
    const origin = { host: fleet.self, incarnation: context.incarnation };
    const time = { wallMs: Date.now(), now: performance.now() };
    const published = publishToGossip(fleet.gossip, origin, fact, time);
    fleet.gossip = published.gossipState;
    published.accepted.forEach(versioned => fleet.factListeners.forEach(listener => listener(versioned)));
    if (options.urgent ?? fact.kind === "stop") {
        scheduleFlush(context);
    }
}

/** Publishes the heartbeat of this host, a fact of kind `host`. */
export function publishHostFact(context: HostContext, options: PublishOptions = {}): void {
    const { fleet, settings } = context;
    const fact = {
        kind: "host",
        host: fleet.self,
        failureDomain: fleet.failureDomain,
        peerAddress: settings.listen.peers,
        leaving: context.draining,
        revision: context.configuration.current.revision,
    } as const;
    publishFact(context, fact, options);
}
