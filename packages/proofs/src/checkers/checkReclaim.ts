/** P6: an endpoint that its owner reclaims gets no new work after a few seconds. */
import type { Configuration } from "@currantrill/core";
import { findObject } from "@currantrill/core";
import { type History, listEvents, splitBy } from "../model/history.js";
import { createReachability, type Interval, type Reachability } from "./reachability.js";

/** Longest time until an order that can be delivered is obeyed. */
const OBEY_MS = 5_000;

/** A time in which the owner wants the endpoint back. */
interface Unwanted extends Interval {
    readonly endpoint: string;
    readonly means: "ticket" | "stop" | "report";
    /** Longest use by a host that hears nothing; only a ticket has such a limit. */
    readonly maxSilenceMs: number;
    /** Times at which each host learned of it; more than one after a restart. */
    readonly seenAtMs: ReadonlyMap<string, readonly number[]>;
}

export function checkReclaim(history: History): string[] {
    const reachability = createReachability(history);
    const unwanted = [...listByTicket(history), ...listByStop(history), ...listByReport(history)];
    return listEvents(history, "used").flatMap(use =>
        unwanted
            .filter(entry => entry.endpoint === use.endpoint && entry.fromMs < use.atMs && use.atMs < entry.toMs)
            .flatMap(entry =>
                listObjections(reachability, entry, use.host, use.atMs).map(objection =>
                    `${use.host} uses ${use.endpoint} at ${use.atMs}, reclaimed by ${entry.means} at ${entry.fromMs}, `
                    + objection
                )
            )
    );
}

function listObjections(reachability: Reachability, unwanted: Unwanted, host: string, atMs: number): string[] {
    const seenAtMs = unwanted.seenAtMs.get(host)?.findLast(seen => seen < atMs) ?? Infinity;
    const knows = seenAtMs < atMs && reachability.isOneProcess(host, { fromMs: seenAtMs, toMs: atMs });
    const deliverable = unwanted.fromMs <= atMs - OBEY_MS && isDeliverable(reachability, unwanted, host, atMs);
    return [
        ...knows ? [`although it knows since ${seenAtMs}`] : [],
        ...deliverable ? ["although the order could reach it"] : [],
        ...atMs - unwanted.fromMs > unwanted.maxSilenceMs ? ["after its longest silence"] : [],
    ];
}

/** Whether the host could have learned of the order in the last seconds. A report is only asked of by the host itself. */
function isDeliverable(reachability: Reachability, unwanted: Unwanted, host: string, atMs: number): boolean {
    const window = { fromMs: atMs - OBEY_MS, toMs: atMs };
    if (unwanted.means === "ticket") {
        return reachability.isReachable(host, window);
    }
    const isHeldByPeer = [...unwanted.seenAtMs].some(([peer, times]) =>
        peer !== host
        && times.some(seenAtMs =>
            seenAtMs <= window.fromMs && reachability.isRunning(peer, { fromMs: seenAtMs, toMs: atMs })
        )
    );
    return unwanted.means === "stop" && isHeldByPeer && reachability.arePeersConnected(window)
        && reachability.isRunning(host, window);
}

const listTimes = (events: readonly { readonly host: string; readonly atMs: number; }[]): Map<string, number[]> =>
    new Map([...splitBy(events, event => event.host)].map(([host, seen]) => [host, seen.map(event => event.atMs)]));

interface EndpointState {
    readonly atMs: number;
    readonly revision: number;
    readonly lendEpoch: number;
    readonly reclaimed: boolean;
    readonly maxSilenceMs: number;
}

function listStates(history: History, endpoint: string): EndpointState[] {
    return listEvents(history, "committed").flatMap(({ atMs, revision, content }) => {
        const object = findObject(JSON.parse(content) as Configuration, "endpoint", endpoint);
        if (object === undefined) {
            return [];
        }
        const { lendEpoch, maxSilenceMs, lending } = object;
        return [{ atMs, revision, lendEpoch, maxSilenceMs, reclaimed: lending === "reclaimed" }];
    });
}

function listEndpoints(history: History): string[] {
    return [...new Set(listEvents(history, "used").map(event => event.endpoint))];
}

/** From the commit of a revision that reclaims to the commit of the next one that lends. */
function listByTicket(history: History): Unwanted[] {
    return listEndpoints(history).flatMap(endpoint => {
        const states = listStates(history, endpoint);
        return states.flatMap((state, index): Unwanted[] => {
            if (!state.reclaimed || states[index - 1]?.reclaimed === true) {
                return [];
            }
            const toMs = states.slice(index).find(later => !later.reclaimed)?.atMs ?? Infinity;
            const adopted = listEvents(history, "adopted").filter(event => event.revision >= state.revision);
            return [{
                endpoint,
                means: "ticket",
                fromMs: state.atMs,
                toMs,
                maxSilenceMs: state.maxSilenceMs,
                seenAtMs: listTimes(adopted),
            }];
        });
    });
}

/** From the stop to the commit of a higher lend epoch. */
function listByStop(history: History): Unwanted[] {
    return listEvents(history, "stopped").map(({ endpoint, lendEpoch, atMs }): Unwanted => {
        const raised = listStates(history, endpoint).find(state => state.lendEpoch > lendEpoch);
        const seen = listEvents(history, "reclaimSeen").filter(event =>
            event.means === "stop" && event.endpoint === endpoint && event.lendEpoch === lendEpoch && event.atMs >= atMs
        );
        return {
            endpoint,
            means: "stop",
            fromMs: atMs,
            toMs: raised?.atMs ?? Infinity,
            maxSilenceMs: Infinity,
            seenAtMs: listTimes(seen),
        };
    });
}

/** From the withdrawal that the endpoint reports to its return. */
function listByReport(history: History): Unwanted[] {
    return listEvents(history, "withdrawn").map(({ endpoint, atMs }): Unwanted => {
        const toMs = listEvents(history, "returned").find(event =>
            event.endpoint === endpoint && event.atMs >= atMs
        )?.atMs
            ?? Infinity;
        const seen = listEvents(history, "reclaimSeen").filter(event =>
            event.means === "report" && event.endpoint === endpoint && event.atMs >= atMs && event.atMs <= toMs
        );
        return {
            endpoint,
            means: "report",
            fromMs: atMs,
            toMs,
            maxSilenceMs: Infinity,
            seenAtMs: listTimes(seen),
        };
    });
}
