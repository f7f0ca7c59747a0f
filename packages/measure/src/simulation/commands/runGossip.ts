/**
 * Simulates the gossip between hosts: load reports, cache events and demand reach the hosts with delays, and cache
 * events also with gaps.
 */
import {
    applyCacheEvents,
    applyReport,
    type LoadReport,
    measureLaneDemand,
    planLanes,
    setReachable,
    sumLaneDemand,
} from "@currantrill/core";
import { type Fleet, type HostState, updateView } from "../model/hostState.js";
import type { SimulatedEngine } from "../model/simulatedEngine.js";

/** Interval at which the monitors of endpoints poll load reports and send them within their failure domain. */
const LOCAL_INTERVAL_MS = 500;
/** Delay of a batch of reports until the hosts have received it. */
const LOCAL_DELAY_MS = 300;
/** Interval at which load reports are sent to other failure domains, and demand to all hosts. */
const REMOTE_INTERVAL_MS = 5_000;
/** Number of batches of cache events of which one has a gap: it is received without its first event. */
const BATCHES_PER_GAP = 50;

/** Schedules the gossip until `endMs`. */
export function startGossip(fleet: Fleet, hosts: readonly HostState[], endMs: number): void {
    const { events } = fleet;
    for (let atMs = 0, batch = 0; atMs < endMs; atMs += LOCAL_INTERVAL_MS, batch += 1) {
        const isRemote = atMs % REMOTE_INTERVAL_MS === 0;
        events.schedule(atMs, () => sendReports(fleet, hosts, isRemote));
        events.schedule(atMs, () => sendCacheEvents(fleet, hosts, batch));
        if (isRemote) {
            events.schedule(atMs + LOCAL_DELAY_MS, () => broadcastDemand(fleet, hosts));
        }
    }
}

/** Divides the endpoints that a host can reach into lanes for short and long requests, by the demand known to it. */
export function updateLanes(host: HostState): void {
    const views = [...host.views.values()].filter(view => view.reachable && view.usable);
    host.lanes = planLanes(views, sumLaneDemand([...host.demands.values()]));
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
        const hasGap = (batch + position) % BATCHES_PER_GAP === 0;
        for (const host of hosts.filter(entry => entry.failureDomain === engine.failureDomain)) {
            receiveCacheEvents(host, engine, hasGap);
        }
    }
}

function receiveCacheEvents(host: HostState, engine: SimulatedEngine, hasGap: boolean): void {
    const knownSequence = host.prefixes.sequences.get(engine.endpoint) ?? 0;
    const batch = engine.cacheEvents.slice(hasGap && knownSequence > 0 ? knownSequence + 1 : knownSequence);
    host.prefixes = applyCacheEvents(host.prefixes, engine.endpoint, batch, host.fleet.events.now).index;
}

/** Sends the demand of each host to all hosts that can reach it, and updates their lanes. */
function broadcastDemand(fleet: Fleet, hosts: readonly HostState[]): void {
    for (const receiver of hosts) {
        for (const sender of hosts) {
            if (fleet.network.canReach(receiver.failureDomain, sender.failureDomain)) {
                receiver.demands.set(sender.id, measureLaneDemand(sender.meter, fleet.events.now));
            }
        }
        updateLanes(receiver);
    }
}
