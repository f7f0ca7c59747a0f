/** A partitioned domain keeps using its endpoints, and all hosts converge afterwards without a burst of messages. */
import { ALWAYS_LENT_ENDPOINT } from "../cluster/clusterConfiguration.js";
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";
import { createReachability, type Reachability } from "./reachability.js";

/** Time within which a host that updates can reach confirms its configuration, with an allowance for a restart. */
const MAX_CONFIRMATION_DELAY_MS = 5_000;
/** Least time that a host keeps using endpoints after it was reachable: `MAX_SILENCE_MS` less the confirmation delay. */
const CONTINUE_MS = 5_000;
/** Interval between the times at which reachability is sampled. */
const SAMPLE_INTERVAL_MS = 1_000;
/** Messages to each peer in a second, including retransmissions and answers. */
const MAX_MESSAGES_PER_SECOND = 12;
/** Time at the end of a history, without changes and faults, in which the hosts have to agree. */
const CONVERGED_MS = 5_000;

/** Returns a finding for each host that stops serving, does not converge or sends too many messages. */
export function checkPartition(history: History): string[] {
    const reachability = createReachability(history);
    return [
        ...checkContinuesServing(history, reachability),
        ...checkConverges(history, reachability),
        ...checkMessageRate(history, reachability),
    ];
}

/** A host that was reachable a short time before keeps using an endpoint that is never reclaimed. */
function checkContinuesServing(history: History, reachability: Reachability): string[] {
    const steps = listEvents(history, "clockStepped");
    return listEvents(history, "unused").filter(event => event.endpoint === ALWAYS_LENT_ENDPOINT).flatMap(
        ({ host, atMs }) => {
            const fromMs = atMs - CONTINUE_MS - MAX_CONFIRMATION_DELAY_MS;
            const wasReachable = reachability.isRunning(host, { fromMs, toMs: atMs })
                && listSampleTimes(atMs - CONTINUE_MS, atMs).some(timeMs =>
                    reachability.canReceiveUpdates(host, { fromMs: timeMs - MAX_CONFIRMATION_DELAY_MS, toMs: timeMs })
                );
            const stepped = steps.some(step => step.host === host && fromMs <= step.atMs && step.atMs <= atMs);
            return wasReachable && !stepped
                ? [`${host} stops using ${ALWAYS_LENT_ENDPOINT} at ${atMs} without a reason`]
                : [];
        },
    );
}

function listSampleTimes(fromMs: number, toMs: number): number[] {
    return Array.from(
        { length: Math.floor((toMs - fromMs) / SAMPLE_INTERVAL_MS) + 1 },
        (_, index) => fromMs + index * SAMPLE_INTERVAL_MS,
    );
}

/** At the end every running host is ready and makes the same decision about each endpoint. */
function checkConverges(history: History, reachability: Reachability): string[] {
    const endMs = history.at(-1)?.atMs ?? 0;
    const running = reachability.hosts.filter(host =>
        reachability.isRunning(host, { fromMs: endMs - CONVERGED_MS, toMs: endMs })
    );
    const decisions = history.filter((event): event is EventOfType<"used" | "unused"> =>
        event.type === "used" || event.type === "unused"
    );
    return [...splitBy(decisions, event => event.endpoint)].flatMap(([endpoint, events]) => {
        const last = running.map(host =>
            events.findLast(event => event.host === host && event.atMs >= endMs - CONVERGED_MS)
        );
        const kinds = new Set(last.map(event => event?.type ?? "not ready"));
        return kinds.size > 1 ? [`hosts end with different decisions about ${endpoint}: ${[...kinds].join(", ")}`] : [];
    });
}

/**
 * The number of messages that a host sends is limited in proportion to its peers, also when a partition ends. The limit
 * covers the preceding interval too, because a host that was paused answers all deferred messages at once.
 */
function checkMessageRate(history: History, reachability: Reachability): string[] {
    const peers = Math.max(1, reachability.hosts.length - 1);
    return [...splitBy(listEvents(history, "messages"), event => event.host)].flatMap(([host, events]) =>
        events.flatMap((event, index) => {
            const seconds = Math.max(1, (event.atMs - (events[index - 2]?.atMs ?? 0)) / 1_000);
            const limit = MAX_MESSAGES_PER_SECOND * peers * seconds;
            return event.count > limit
                ? [`${host} sends ${event.count} messages in ${seconds} s at ${event.atMs}`]
                : [];
        })
    );
}
