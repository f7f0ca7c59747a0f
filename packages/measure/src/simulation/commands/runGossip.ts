/** Reports, cache events and demand on their way from the watchers to the hosts, late and with gaps. */
import {
    applyCacheEvents,
    applyReport,
    type LoadReport,
    planLanes,
    readDemand,
    setReachable,
    sumDemand,
} from "@currantrill/core";
import type { EngineFake } from "../model/engineFake.js";
import { type Fleet, type HostState, updateView } from "../model/hostState.js";

/** Watchers poll the reports and send them inside their domain at this interval. */
const LOCAL_INTERVAL_MS = 500;
/** Delay of a batch inside the domain. */
const LOCAL_DELAY_MS = 300;
const REMOTE_INTERVAL_MS = 5_000;
/** One in so many batches of cache events arrives without its first event: a gap. */
const GAP_BATCHES = 50;

/** Starts the exchange for the time of the run. */
export function startGossip(fleet: Fleet, hosts: readonly HostState[], endMs: number): void {
    const { events } = fleet;
    for (let atMs = 0, batch = 0; atMs < endMs; atMs += LOCAL_INTERVAL_MS, batch += 1) {
        const isRemote = atMs % REMOTE_INTERVAL_MS === 0;
        events.schedule(atMs, () => sendReports(fleet, hosts, isRemote));
        events.schedule(atMs, () => sendCacheEvents(fleet, hosts, batch));
        if (isRemote) {
            events.schedule(atMs + LOCAL_DELAY_MS, () => shareDemand(fleet, hosts));
        }
    }
}

/** Divides the endpoints that a host reaches into lanes by the demand that it knows of. */
export function updateLanes(host: HostState): void {
    const views = [...host.views.values()].filter(view => view.reachable && view.usable);
    host.lanes = planLanes(views, sumDemand([...host.demands.values()]));
}

function sendReports(fleet: Fleet, hosts: readonly HostState[], isRemote: boolean): void {
    const { events, network } = fleet;
    const sequence = Math.floor(events.now / LOCAL_INTERVAL_MS) + 1;
    for (const engine of fleet.engines.values()) {
        const { alive } = engine;
        const report: LoadReport = {
            sequence,
            observedAtMs: events.now,
            queuedPrefillTokens: engine.queuedPrefillTokens,
            runningRequests: engine.runningRequests,
            memoryUsedTokens: engine.memoryUsed,
        };
        const receivers = hosts.filter(host =>
            host.failureDomain === engine.failureDomain
            || (isRemote && network.canReach(host.failureDomain, engine.failureDomain))
        );
        events.schedule(LOCAL_DELAY_MS, () => {
            for (const host of receivers) {
                updateView(host, engine.endpoint, view => setReachable(applyReport(view, report), alive));
            }
        });
    }
}

function sendCacheEvents(fleet: Fleet, hosts: readonly HostState[], batch: number): void {
    for (const [position, engine] of [...fleet.engines.values()].entries()) {
        const hasGap = (batch + position) % GAP_BATCHES === 0;
        for (const host of hosts.filter(entry => entry.failureDomain === engine.failureDomain)) {
            receiveCacheEvents(host, engine, hasGap);
        }
    }
}

function receiveCacheEvents(host: HostState, engine: EngineFake, hasGap: boolean): void {
    const known = host.prefixes.sequences.get(engine.endpoint) ?? 0;
    const batch = engine.cacheEvents.slice(hasGap && known > 0 ? known + 1 : known);
    host.prefixes = applyCacheEvents(host.prefixes, engine.endpoint, batch, host.fleet.events.now).index;
}

function shareDemand(fleet: Fleet, hosts: readonly HostState[]): void {
    for (const host of hosts) {
        for (const other of hosts) {
            if (fleet.network.canReach(host.failureDomain, other.failureDomain)) {
                host.demands.set(other.id, readDemand(other.meter, fleet.events.now));
            }
        }
        updateLanes(host);
    }
}
