/** Who could have learned what in a history: when hosts ran, and when faults kept them from the platform or from peers. */
import { type EventOfType, type History, splitBy } from "../model/history.js";

export interface Interval {
    readonly fromMs: number;
    readonly toMs: number;
}

export interface Reachability {
    readonly hosts: readonly string[];
    /** Whether one process of the host ran without a standstill. */
    readonly isRunning: (host: string, interval: Interval) => boolean;
    /** Whether one process of the host ran, standing still or not. */
    readonly isOneProcess: (host: string, interval: Interval) => boolean;
    /** Whether the host ran and news of the platform could reach it, directly or through a peer. */
    readonly isReachable: (host: string, interval: Interval) => boolean;
    /** Whether requests of the host could reach the endpoints and be answered. */
    readonly isEndpointReachable: (host: string, interval: Interval) => boolean;
    /** Whether the hosts that ran could all exchange messages. */
    readonly arePeersConnected: (interval: Interval) => boolean;
}

interface HostTimes {
    /** Lives of the host's processes. */
    readonly lives: Interval[];
    readonly standstills: Interval[];
}

export function createReachability(history: History): Reachability {
    const endMs = history.at(-1)?.atMs ?? 0;
    const times = collectHosts(history, endMs);
    const cuts = collectCuts(history, endMs);
    const hosts = [...times.keys()];
    const isOneProcess = (host: string, { fromMs, toMs }: Interval): boolean =>
        times.get(host)?.lives.some(life => life.fromMs <= fromMs && toMs <= life.toMs) === true;
    const isRunning = (host: string, interval: Interval): boolean =>
        isOneProcess(host, interval)
        && times.get(host)?.standstills.some(standstill => overlaps(standstill, interval)) === false;
    const isFree = (host: string, from: string, interval: Interval): boolean =>
        !cuts.some(cut =>
            cut.from === from && (cut.host === undefined || cut.host === host) && overlaps(cut.interval, interval)
        );
    const seesPlatform = (host: string, interval: Interval): boolean =>
        isRunning(host, interval) && isFree(host, "platform", interval);
    return {
        hosts,
        isRunning,
        isOneProcess,
        isReachable: (host, interval) =>
            seesPlatform(host, interval)
            || isRunning(host, interval) && isFree(host, "peers", interval) && hosts.some(peer =>
                    peer !== host && seesPlatform(peer, interval) && isFree(peer, "peers", interval)
                ),
        isEndpointReachable: (host, interval) => isFree(host, "endpoint", interval),
        arePeersConnected: interval => hosts.every(host => isFree(host, "peers", interval)),
    };
}

const overlaps = (a: Interval, b: Interval): boolean => a.fromMs <= b.toMs && b.fromMs <= a.toMs;

function collectHosts(history: History, endMs: number): Map<string, HostTimes> {
    const processEvents = history.filter((event): event is ProcessEvent => processEventTypes.has(event.type));
    const byHost = splitBy(processEvents, event => event.host);
    return new Map([...byHost].map(([host, events]) => [host, {
        lives: joinEvents(events, event => event.type === "started", event => event.type === "killed", endMs),
        standstills: joinEvents(events, event => event.type === "paused", event => event.type === "resumed", endMs),
    }]));
}

type ProcessEvent = EventOfType<"started" | "killed" | "paused" | "resumed">;
const processEventTypes: ReadonlySet<string> = new Set(["started", "killed", "paused", "resumed"]);

/** Pairs each begin with the next end; the last one may be open. */
function joinEvents<T extends { readonly atMs: number; }>(
    events: readonly T[],
    isBegin: (event: T) => boolean,
    isEnd: (event: T) => boolean,
    endMs: number,
): Interval[] {
    const intervals: Interval[] = [];
    let fromMs: number | undefined;
    for (const event of events) {
        if (isBegin(event)) {
            fromMs ??= event.atMs;
        }
        else if (isEnd(event) && fromMs !== undefined) {
            intervals.push({ fromMs, toMs: event.atMs });
            fromMs = undefined;
        }
    }
    return fromMs === undefined ? intervals : [...intervals, { fromMs, toMs: endMs }];
}

interface Cut {
    readonly host: string | undefined;
    readonly from: string;
    readonly interval: Interval;
}

/** Joins overlapping cuts of the same host and kind. */
function collectCuts(history: History, endMs: number): Cut[] {
    const events = history.filter((event): event is EventOfType<"cut" | "healed"> =>
        event.type === "cut" || event.type === "healed"
    );
    const cuts: Cut[] = [];
    for (const [, group] of splitBy(events, event => `${event.host ?? "*"} ${event.from}`)) {
        let depth = 0;
        let fromMs = 0;
        for (const event of group) {
            if (event.type === "cut" && depth === 0) {
                fromMs = event.atMs;
            }
            depth += event.type === "cut" ? 1 : -1;
            if (depth === 0) {
                cuts.push({ host: event.host, from: event.from, interval: { fromMs, toMs: event.atMs } });
            }
        }
        const [first] = group;
        if (depth > 0 && first !== undefined) {
            cuts.push({ host: first.host, from: first.from, interval: { fromMs, toMs: endMs } });
        }
    }
    return cuts;
}
