/**
 * P6: a reclaimed endpoint gets no new work from hosts that know of the reclaim, could have known of it for 5 s, or
 * have received no updates for the longest permitted time.
 */
import type { Configuration } from "@currantrill/core";
import { findObject } from "@currantrill/core";
import { type History, listEvents, splitBy } from "../model/history.js";
import { createReachability, type Interval, type Reachability } from "./reachability.js";

/** Time limit for a host to obey a reclaim order that can be delivered to it. */
const MAX_OBEY_DELAY_MS = 5_000;

/** A period in which an endpoint is reclaimed. */
interface ReclaimPeriod extends Interval {
    readonly endpoint: string;
    /** How it was reclaimed: by a ticket, by an operator's stop on a host, or by the endpoint's own report. */
    readonly via: "ticket" | "stop" | "report";
    /** How long a host that receives no updates may use the endpoint; `Infinity` unless reclaimed by a ticket. */
    readonly maxSilenceMs: number;
    /** Times at which each host learned of it; several if the host restarted. */
    readonly learnedAtMs: ReadonlyMap<string, readonly number[]>;
}

/** Returns a finding for each violation of P6. */
export function checkReclaim(history: History): string[] {
    const reachability = createReachability(history);
    const periods = [...listTicketReclaims(history), ...listStopReclaims(history), ...listReportReclaims(history)];
    return listEvents(history, "used").flatMap(use =>
        periods
            .filter(entry => entry.endpoint === use.endpoint && entry.fromMs < use.atMs && use.atMs < entry.toMs)
            .flatMap(entry =>
                listViolations(reachability, entry, use.host, use.atMs).map(violation =>
                    `${use.host} uses ${use.endpoint} at ${use.atMs}, reclaimed by ${entry.via} at ${entry.fromMs}, `
                    + violation
                )
            )
    );
}

function listViolations(reachability: Reachability, period: ReclaimPeriod, host: string, atMs: number): string[] {
    const learnedAtMs = period.learnedAtMs.get(host)?.findLast(seen => seen < atMs) ?? Infinity;
    const knows = learnedAtMs < atMs && reachability.isSameProcess(host, { fromMs: learnedAtMs, toMs: atMs });
    const deliverable = period.fromMs <= atMs - MAX_OBEY_DELAY_MS && isDeliverable(reachability, period, host, atMs);
    return [
        ...knows ? [`although it knows since ${learnedAtMs}`] : [],
        ...deliverable ? ["although the order could reach it"] : [],
        ...atMs - period.fromMs > period.maxSilenceMs ? ["after its longest silence"] : [],
    ];
}

/**
 * Whether the host could have learned of the order within the time limit. A report is never deliverable in this sense,
 * because each host reads it from the endpoint itself.
 */
function isDeliverable(reachability: Reachability, period: ReclaimPeriod, host: string, atMs: number): boolean {
    const window = { fromMs: atMs - MAX_OBEY_DELAY_MS, toMs: atMs };
    if (period.via === "ticket") {
        return reachability.canReceiveUpdates(host, window);
    }
    const isKnownToPeer = [...period.learnedAtMs].some(([peer, times]) =>
        peer !== host
        && times.some(learnedAtMs =>
            learnedAtMs <= window.fromMs && reachability.isRunning(peer, { fromMs: learnedAtMs, toMs: atMs })
        )
    );
    return period.via === "stop" && isKnownToPeer && reachability.arePeersConnected(window)
        && reachability.isRunning(host, window);
}

/** Lists the times of the events of each host. */
const listTimesByHost = (events: readonly { readonly host: string; readonly atMs: number; }[]): Map<string, number[]> =>
    new Map([...splitBy(events, event => event.host)].map(([host, seen]) => [host, seen.map(event => event.atMs)]));

/** An endpoint's lending state in one revision of the configuration. */
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

function listUsedEndpoints(history: History): string[] {
    return [...new Set(listEvents(history, "used").map(event => event.endpoint))];
}

/** Periods from the commit of a revision that reclaims an endpoint to the commit of the next one that lends it. */
function listTicketReclaims(history: History): ReclaimPeriod[] {
    return listUsedEndpoints(history).flatMap(endpoint => {
        const states = listStates(history, endpoint);
        return states.flatMap((state, index): ReclaimPeriod[] => {
            if (!state.reclaimed || states[index - 1]?.reclaimed === true) {
                return [];
            }
            const toMs = states.slice(index).find(later => !later.reclaimed)?.atMs ?? Infinity;
            const adopted = listEvents(history, "adopted").filter(event => event.revision >= state.revision);
            return [{
                endpoint,
                via: "ticket",
                fromMs: state.atMs,
                toMs,
                maxSilenceMs: state.maxSilenceMs,
                learnedAtMs: listTimesByHost(adopted),
            }];
        });
    });
}

/** Periods from a stop to the commit of a higher lend epoch. */
function listStopReclaims(history: History): ReclaimPeriod[] {
    return listEvents(history, "stopped").map(({ endpoint, lendEpoch, atMs }): ReclaimPeriod => {
        const lentAgain = listStates(history, endpoint).find(state => state.lendEpoch > lendEpoch);
        const seen = listEvents(history, "reclaimSeen").filter(event =>
            event.via === "stop" && event.endpoint === endpoint && event.lendEpoch === lendEpoch
            && event.atMs >= atMs
        );
        return {
            endpoint,
            via: "stop",
            fromMs: atMs,
            toMs: lentAgain?.atMs ?? Infinity,
            maxSilenceMs: Infinity,
            learnedAtMs: listTimesByHost(seen),
        };
    });
}

/** Periods from a withdrawal by the endpoint's report to its return. */
function listReportReclaims(history: History): ReclaimPeriod[] {
    return listEvents(history, "withdrawn").map(({ endpoint, atMs }): ReclaimPeriod => {
        const toMs = listEvents(history, "returned").find(event =>
            event.endpoint === endpoint && event.atMs >= atMs
        )?.atMs
            ?? Infinity;
        const seen = listEvents(history, "reclaimSeen").filter(event =>
            event.via === "report" && event.endpoint === endpoint && event.atMs >= atMs && event.atMs <= toMs
        );
        return {
            endpoint,
            via: "report",
            fromMs: atMs,
            toMs,
            maxSilenceMs: Infinity,
            learnedAtMs: listTimesByHost(seen),
        };
    });
}
