import { publishFact as publishToFlood } from "@currantrill/core";
import type { Fact } from "@currantrill/protocol";
import type { HostContext } from "../../model/hostContext.js";
import { scheduleFlush } from "./flushFacts.js";

export interface PublishOptions {
    /** Sends the fact at once instead of with the next batch. */
    readonly urgent?: boolean;
}

/** Publishes a fact of this host to the fleet. */
export function publishFact(context: HostContext, fact: Fact, options: PublishOptions = {}): void {
    const { fleet } = context;
    const origin = { host: fleet.self, incarnation: context.incarnation };
    const time = { wallMs: Date.now(), now: performance.now() };
    const published = publishToFlood(fleet.flood, origin, fact, time);
    fleet.flood = published.flood;
    published.accepted.forEach(versioned => fleet.listeners.forEach(listener => listener(versioned)));
    if (options.urgent ?? fact.kind === "stop") {
        scheduleFlush(context);
    }
}

/** Publishes the sign of life of this host. */
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
