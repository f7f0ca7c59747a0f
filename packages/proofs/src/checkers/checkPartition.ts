/** A partitioned domain goes on with what it has, and all hosts converge afterwards without a flood of messages. */
import { STEADY_ENDPOINT } from "../cluster/clusterConfiguration.js";
import { type EventOfType, type History, listEvents, splitBy } from "../model/history.js";
import { createReachability, type Reachability } from "./reachability.js";

/** Time in which a host that news can reach confirms its configuration, with room for a start. */
const CONFIRM_MS = 5_000;
/** A host goes on for at least this long after it was last reachable: the longest silence less the confirmation. */
const GO_ON_MS = 5_000;
const STEP_MS = 1_000;
/** Messages to each peer in a second, retransmissions and answers included. */
const MAX_MESSAGES_PER_SECOND = 12;
/** Quiet time at the end of a history, in which decisions agree. */
const FINAL_MS = 5_000;

export function checkPartition(history: History): string[] {
    const reachability = createReachability(history);
    return [
        ...checkGoesOn(history, reachability),
        ...checkConverges(history, reachability),
        ...checkNoFlood(history, reachability),
    ];
}

/** An endpoint that nobody reclaims stays in use by a host that was reachable a short time before. */
function checkGoesOn(history: History, reachability: Reachability): string[] {
    const steps = listEvents(history, "clockStepped");
    return listEvents(history, "unused").filter(event => event.endpoint === STEADY_ENDPOINT).flatMap(
        ({ host, atMs }) => {
            const fromMs = atMs - GO_ON_MS - CONFIRM_MS;
            const wasReachable = reachability.isRunning(host, { fromMs, toMs: atMs })
                && listTimes(atMs - GO_ON_MS, atMs).some(timeMs =>
                    reachability.isReachable(host, { fromMs: timeMs - CONFIRM_MS, toMs: timeMs })
                );
            const stepped = steps.some(step => step.host === host && fromMs <= step.atMs && step.atMs <= atMs);
            return wasReachable && !stepped
                ? [`${host} stops using ${STEADY_ENDPOINT} at ${atMs} without a reason`]
                : [];
        },
    );
}

function listTimes(fromMs: number, toMs: number): number[] {
    return Array.from({ length: Math.floor((toMs - fromMs) / STEP_MS) + 1 }, (_, index) => fromMs + index * STEP_MS);
}

/** At the end every running host is ready and decides the same about each endpoint. */
function checkConverges(history: History, reachability: Reachability): string[] {
    const endMs = history.at(-1)?.atMs ?? 0;
    const running = reachability.hosts.filter(host =>
        reachability.isRunning(host, { fromMs: endMs - FINAL_MS, toMs: endMs })
    );
    const decisions = history.filter((event): event is EventOfType<"used" | "unused"> =>
        event.type === "used" || event.type === "unused"
    );
    return [...splitBy(decisions, event => event.endpoint)].flatMap(([endpoint, events]) => {
        const last = running.map(host =>
            events.findLast(event => event.host === host && event.atMs >= endMs - FINAL_MS)
        );
        const kinds = new Set(last.map(event => event?.type ?? "not ready"));
        return kinds.size > 1 ? [`hosts end with different decisions about ${endpoint}: ${[...kinds].join(", ")}`] : [];
    });
}

/**
 * What a host sends stays in proportion to its peers, also when a partition heals. The interval before counts as well,
 * because a host that stood still answers what has waited.
 */
function checkNoFlood(history: History, reachability: Reachability): string[] {
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
