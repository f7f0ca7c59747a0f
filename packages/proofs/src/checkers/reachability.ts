/**
 * Derives from a history when hosts ran and when faults kept them from the platform, their peers or the endpoints. With
 * this, checkers decide which updates a host could have received.
 */
import { type EventOfType, type History, splitBy } from "../model/history.js";

/** A time interval, including both ends. */
export interface Interval {
    readonly fromMs: number;
    readonly toMs: number;
}

/** What hosts could do in a history. Each function that takes an interval applies to the whole of it. */
export interface Reachability {
    readonly hosts: readonly string[];
    /** Whether one process of the host ran during the whole interval and was never paused. */
    readonly isRunning: (host: string, interval: Interval) => boolean;
    /** Whether one process of the host existed during the whole interval, paused or not. */
    readonly isSameProcess: (host: string, interval: Interval) => boolean;
    /** Whether the host ran and could receive the platform's updates all the time, directly or through one peer. */
    readonly canReceiveUpdates: (host: string, interval: Interval) => boolean;
    /** Whether the host could send requests to the endpoints and receive the answers. */
    readonly isEndpointReachable: (host: string, interval: Interval) => boolean;
    /** Whether no fault kept any host from its peers. */
    readonly arePeersConnected: (interval: Interval) => boolean;
}

interface HostTimes {
    /** From the start to the end of each of the host's processes. */
    readonly lifetimes: Interval[];
    readonly pauses: Interval[];
}

export function createReachability(history: History): Reachability {
    const endMs = history.at(-1)?.atMs ?? 0;
    const times = collectHostTimes(history, endMs);
    const disconnections = collectDisconnections(history, endMs);
    const hosts = [...times.keys()];
    const isSameProcess = (host: string, { fromMs, toMs }: Interval): boolean =>
        times.get(host)?.lifetimes.some(lifetime => lifetime.fromMs <= fromMs && toMs <= lifetime.toMs) === true;
    const isRunning = (host: string, interval: Interval): boolean =>
        isSameProcess(host, interval)
        && times.get(host)?.pauses.some(pause => overlaps(pause, interval)) === false;
    const isConnected = (host: string, from: string, interval: Interval): boolean =>
        !disconnections.some(fault =>
            fault.from === from && (fault.host === undefined || fault.host === host)
            && overlaps(fault.interval, interval)
        );
    const isPlatformReachable = (host: string, interval: Interval): boolean =>
        isRunning(host, interval) && isConnected(host, "platform", interval);
    return {
        hosts,
        isRunning,
        isSameProcess,
        canReceiveUpdates: (host, interval) =>
            isPlatformReachable(host, interval)
            || isRunning(host, interval) && isConnected(host, "peers", interval) && hosts.some(peer =>
                    peer !== host && isPlatformReachable(peer, interval) && isConnected(peer, "peers", interval)
                ),
        isEndpointReachable: (host, interval) => isConnected(host, "endpoint", interval),
        arePeersConnected: interval => hosts.every(host => isConnected(host, "peers", interval)),
    };
}

const overlaps = (a: Interval, b: Interval): boolean => a.fromMs <= b.toMs && b.fromMs <= a.toMs;

function collectHostTimes(history: History, endMs: number): Map<string, HostTimes> {
    const processEvents = history.filter((event): event is ProcessEvent => processEventTypes.has(event.type));
    const byHost = splitBy(processEvents, event => event.host);
    return new Map([...byHost].map(([host, events]) => [host, {
        lifetimes: buildIntervals(events, event => event.type === "started", event => event.type === "killed", endMs),
        pauses: buildIntervals(events, event => event.type === "paused", event => event.type === "resumed", endMs),
    }]));
}

type ProcessEvent = EventOfType<"started" | "killed" | "paused" | "resumed">;
const processEventTypes: ReadonlySet<string> = new Set(["started", "killed", "paused", "resumed"]);

/** Pairs each start with the next end. An interval that is still open lasts until `endMs`. */
function buildIntervals<T extends { readonly atMs: number; }>(
    events: readonly T[],
    isStart: (event: T) => boolean,
    isEnd: (event: T) => boolean,
    endMs: number,
): Interval[] {
    const intervals: Interval[] = [];
    let fromMs: number | undefined;
    for (const event of events) {
        if (isStart(event)) {
            fromMs ??= event.atMs;
        }
        else if (isEnd(event) && fromMs !== undefined) {
            intervals.push({ fromMs, toMs: event.atMs });
            fromMs = undefined;
        }
    }
    return fromMs === undefined ? intervals : [...intervals, { fromMs, toMs: endMs }];
}

interface Disconnection {
    readonly host: string | undefined;
    readonly from: string;
    readonly interval: Interval;
}

/** Merges overlapping disconnections of the same host from the same peers, platform or endpoints. */
function collectDisconnections(history: History, endMs: number): Disconnection[] {
    const events = history.filter((event): event is EventOfType<"disconnected" | "reconnected"> =>
        event.type === "disconnected" || event.type === "reconnected"
    );
    const disconnections: Disconnection[] = [];
    for (const [, group] of splitBy(events, event => `${event.host ?? "*"} ${event.from}`)) {
        let depth = 0;
        let fromMs = 0;
        for (const event of group) {
            if (event.type === "disconnected" && depth === 0) {
                fromMs = event.atMs;
            }
            depth += event.type === "disconnected" ? 1 : -1;
            if (depth === 0) {
                disconnections.push({ host: event.host, from: event.from, interval: { fromMs, toMs: event.atMs } });
            }
        }
        const [first] = group;
        if (depth > 0 && first !== undefined) {
            disconnections.push({ host: first.host, from: first.from, interval: { fromMs, toMs: endMs } });
        }
    }
    return disconnections;
}
