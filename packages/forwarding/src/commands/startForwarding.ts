/** Composes and starts a forwarding host. */
import { createAddressBinder, type ProcessReport, startProcessReport } from "@currantrill/lifecycle";
import { readClocks, toFailureDomainId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import { setImmediate, setTimeout as sleep } from "node:timers/promises";
import { createConfigurationManager } from "../configuration/model/configurationManager.js";
import type { ServingConfiguration } from "../configuration/model/servingConfiguration.js";
import { connectSocket, type SocketConnector } from "../endpoints/commands/connectSocket.js";
import { startProbing } from "../endpoints/commands/startProbing.js";
import {
    createEndpointDirectory,
    type EndpointDirectory,
    type EndpointDirectoryOptions,
} from "../endpoints/model/endpointDirectory.js";
import { createEndpointObservationTable } from "../endpoints/model/endpointObservation.js";
import { listMonitoredEndpoints } from "../endpoints/queries/listMonitoredEndpoints.js";
import { createEvacuationRegistry, type EvacuationRegistry } from "../evacuation/model/evacuationRegistry.js";
import type { ForwardingContext } from "../model/forwardingContext.js";
import { createForwardingMetrics, type ForwardingMetrics } from "../model/forwardingMetrics.js";
import { publishHost } from "../peers/commands/publishHost.js";
import type { Peers } from "../peers/commands/startPeers.js";
import { createAssignmentRegistry } from "../placement/model/assignmentRegistry.js";
import type { CallerProtocol, CreateTableSource, EndpointProtocol, PlatformRows, TableSource } from "../ports/index.js";
import { type Quarantine, type QuarantineOptions, startQuarantine } from "../quarantine/commands/startQuarantine.js";
import { describeMissing } from "../queries/describeMissing.js";
import { createEndpointLinks, type EndpointLinks } from "../relays/commands/createEndpointLinks.js";
import type { SharedTable } from "../replicas/model/sharedTable.js";
import { createRouteDurations } from "../requests/model/routeDurations.js";
import { createSharedRetryBudget } from "../retries/model/sharedRetryBudget.js";
import { createWarmup, type Warmup } from "../warmup/commands/createWarmup.js";
import { connectFleet, type FleetConnection } from "./connectFleet.js";
import { createCallerBudget, resourceKinds } from "./createCallerBudget.js";
import { drainForwarding } from "./drainForwarding.js";
import { type ForwardingServers, serveForwarding } from "./serveForwarding.js";
import { trackTables } from "./trackTables.js";

/** Timeout of a call to the store, which answers within tens of milliseconds. */
const STORE_CALL_TIMEOUT_MS = 900;
/** Limit on the backoff, since a change must be active two seconds after the store is reachable again. */
const MAX_STORE_BACKOFF_MS = 500;
/**
 * Time limit for the listen addresses to become available. It leaves time for the former process of the host to end,
 * and is below the time in which a fleet must serve again after a loss of power.
 */
const ADDRESS_TIMEOUT_MS = 10_000;
const GAUGE_INTERVAL_MS = 1_000;
/** Interval at which a stopping host checks whether peers still use connections that it relays. */
const RELAY_POLL_MS = 20;
const BYTES_PER_MB = 1_048_576;

/** Settings of a host, and the platform's protocols, rows and store. */
export interface ForwardingOptions {
    readonly settings: ForwardingSettings;
    readonly log: Logger;
    readonly callers: CallerProtocol;
    readonly protocol: EndpointProtocol;
    /** Tables of the platform, and decoders of their rows. */
    readonly rows: PlatformRows;
    /** Creates the access to the platform's store. */
    readonly createSource: CreateTableSource;
    /** Connects to endpoints directly. Tests replace it. */
    readonly connect?: SocketConnector;
}

export interface RunningForwarding {
    readonly context: ForwardingContext;
    /** Applies changed settings. Changed addresses take effect at the next start. */
    readonly reload: (settings: ForwardingSettings) => void;
    /**
     * Shuts the host down gracefully. Resolves when the requests in flight have ended, or the grace time has, which counts
     * from `delayMs` ago. Further calls return the same promise.
     */
    readonly drain: (delayMs?: number) => Promise<void>;
}

/** Starts a forwarding host. Rejects if an address cannot be bound within `ADDRESS_TIMEOUT_MS`. */
export async function startForwarding(options: ForwardingOptions): Promise<RunningForwarding> {
    const { settings, log, rows } = options;
    const metrics = createForwardingMetrics();
    const source = createStoreSource(options, metrics);
    const configuration = createConfigurationManager({
        rows,
        log,
        onChange: index => applyConfiguration(context, servers, index.configuration),
    });
    let isConnected = false;
    const sharedTables = new Map<string, SharedTable>();
    const registry = createAssignmentRegistry(change => peers.announce(change));
    const evacuations = startEvacuations(options, metrics, () => context.warmup);
    const listServing = (): readonly string[] => isConnected ? peers.fleet.listServing() : [];
    const links = createHostLinks(options, metrics, listServing, () => context);
    const directory = createHostDirectory(options, links, {
        isEvacuated: evacuations.isEvacuated,
        onConnect: () => metrics.connections.inc(),
        onNotice: source => peers.announceNotice(source),
        getColdPolicy: service => configuration.get()?.services.get(service)?.cold,
    });
    const quarantine = startHostQuarantine(options, {
        metrics,
        source,
        getSettings: () => context.settings.quarantine,
        shouldFollowStore: () => isConnected && peers.fleet.shouldFollowStore(),
        announce: () => peers.announceEvidence(),
    });
    const context: ForwardingContext = {
        settings,
        log,
        metrics,
        callers: options.callers,
        protocol: options.protocol,
        directory,
        links,
        evacuations,
        warmup: createWarmup({ log, listEndpoints: directory.listAll }),
        assignmentRegistry: registry,
        peerObservations: createEndpointObservationTable(),
        isSmallFleet: () => peers.fleet.isSmallFleet(),
        placePrompt: query => fleet.placePrompt(query),
        get permits() {
            return fleet.permits;
        },
        resourceBudget: createCallerBudget(() => context.settings, log, metrics),
        quarantine,
        retryBudget: createSharedRetryBudget(() => context.settings.retries, () => peers.fleet.countHosts()),
        getConfiguration: () => hasBeenRead(sharedTables, rows.configurationTable) ? configuration.get() : undefined,
        createReservationId: createIdGenerator(settings.host_id),
        exchanges: new Set(),
        routeDurations: createRouteDurations(),
    };
    const bindAddress = createAddressBinder({ log, timeoutMs: ADDRESS_TIMEOUT_MS });
    const servers = await serveForwarding(context, bindAddress);
    const fleet = await connectFleet(context, sharedTables, () => tables.isStoreUnavailable(), bindAddress);
    isConnected = true;
    const { peers } = fleet;
    const upkeep = startUpkeep(context, options, source, fleet);
    const tracked = { configuration, directory, evacuations, sharedTables };
    const tables = trackTables({ rows, source, log, peers, onRestored: upkeep.restoreWrites, ...tracked });
    log.info({ settings: settings.listen, failureDomain: settings.failure_domain }, "host: started");
    let drained: Promise<void> | undefined;
    const stop = async (delayMs: number): Promise<void> => {
        await drainAmongPeers(context, servers, peers, delayMs);
        [tables, upkeep].forEach(each => each.stop());
        closeParts(context);
        await fleet.close();
        log.info("host: stopped");
    };
    return {
        context,
        reload: changed => applySettings(context, changed),
        drain: (delayMs = 0) => drained ??= stop(delayMs),
    };
}

function applyConfiguration(
    { metrics, warmup }: ForwardingContext,
    servers: ForwardingServers,
    configuration: ServingConfiguration,
): void {
    metrics.configurationVersion.set(configuration.version);
    servers.applyLimits(configuration.limits);
    warmup.reportInvalid(configuration);
}

const closeParts = ({ quarantine, directory, evacuations, links }: ForwardingContext): void =>
    [quarantine, directory, evacuations, links].forEach(each => each.close());

/** Drains the host, and announces the drain and its end to peers. */
async function drainAmongPeers(
    context: ForwardingContext,
    servers: ForwardingServers,
    peers: Peers,
    delayMs: number,
): Promise<void> {
    peers.announceLeaving();
    await drainForwarding(context, servers, delayMs);
    await waitForRelays(context);
    // Requests that were stopped at the end release their work in this turn.
    await setImmediate();
    // Without this message, peers count the work until this host has been silent for some time.
    peers.announceLeaving();
    await setImmediate();
}

/** Waits until peers have closed the connections that this host relays, at most until the requests in flight would end. */
async function waitForRelays({ links, shutdown }: ForwardingContext): Promise<void> {
    const endsAtMs = shutdown?.stopsAtMs ?? 0;
    while (links.relays.countOpen() > 0 && performance.now() < endsAtMs) {
        await sleep(RELAY_POLL_MS);
    }
}

/** Returns whether a table has been read, from the store or from a peer. */
const hasBeenRead = (sharedTables: ReadonlyMap<string, SharedTable>, table: string): boolean =>
    (sharedTables.get(table)?.getReplica().version ?? -1) >= 0;

function applySettings(context: ForwardingContext, changed: ForwardingSettings): void {
    context.settings = changed;
    context.log.level(changed.log_level);
    context.log.info({ retries: changed.retries, drain: changed.drain }, "host: settings reloaded");
}

interface Upkeep {
    /** Writes to the store again what this host has written there. */
    readonly restoreWrites: () => void;
    readonly stop: () => void;
}

/** Starts what the host does at intervals. */
function startUpkeep(
    context: ForwardingContext,
    { settings, log, protocol, rows }: ForwardingOptions,
    source: TableSource,
    { peers: { fleet }, getBehindMs }: FleetConnection,
): Upkeep {
    const publication = publishHost({
        source,
        table: rows.hostTable,
        address: settings.listen.peers,
        shouldPublish: fleet.shouldFollowStore,
        log,
    });
    const stopProbing = startProbing({
        directory: context.directory,
        isEvacuated: context.evacuations.isEvacuated,
        protocol,
        log,
        listMonitored: () => listMonitoredEndpoints(context, fleet.listLocalDomain(), settings.listen.peers),
    });
    const gaugeTimer = setInterval(() => updateGauges(context, fleet.countHosts(), getBehindMs()), GAUGE_INTERVAL_MS);
    const stopReport = startProcessReport({
        log,
        describeState: () => ({ inFlight: context.exchanges.size, waitingFor: describeMissing(context) }),
        onReport: report => updateProcessGauges(context.metrics, report),
    });
    return {
        restoreWrites: () => {
            publication.republish();
            context.quarantine.saveAll();
        },
        stop: () => {
            publication.stop();
            stopProbing();
            clearInterval(gaugeTimer);
            stopReport();
        },
    };
}

const createHostLinks = (
    { log, connect = connectSocket }: ForwardingOptions,
    metrics: ForwardingMetrics,
    listServing: () => readonly string[],
    getContext: () => ForwardingContext,
): EndpointLinks =>
    createEndpointLinks({
        log,
        metrics,
        connectDirect: connect,
        listServing,
        getDirectory: () => getContext().directory,
        isStopping: () => getContext().shutdown !== undefined,
    });

const createHostDirectory = (
    { settings, log, rows }: ForwardingOptions,
    { connect, isReusable }: EndpointLinks,
    more: Omit<EndpointDirectoryOptions, "hostFailureDomain" | "log" | "rows" | "connect" | "isReusable">,
): EndpointDirectory =>
    createEndpointDirectory({
        hostFailureDomain: toFailureDomainId(settings.failure_domain),
        log,
        rows,
        connect,
        isReusable,
        ...more,
    });

const startEvacuations = (
    { log, rows }: ForwardingOptions,
    metrics: ForwardingMetrics,
    getWarmup: () => Warmup,
): EvacuationRegistry =>
    createEvacuationRegistry({
        rows,
        log,
        onCount: count => metrics.evacuatedDomains.set(count),
        onReturn: domain => getWarmup().markReturned(domain, readClocks()),
    });

const startHostQuarantine = (
    { log, protocol, rows }: ForwardingOptions,
    more: Omit<QuarantineOptions, "log" | "protocol" | "table">,
): Quarantine => startQuarantine({ log, protocol, table: rows.quarantineTable, ...more });

const createStoreSource = (
    { settings, createSource, log }: ForwardingOptions,
    metrics: ForwardingMetrics,
): ReturnType<CreateTableSource> =>
    createSource({
        address: settings.store.address,
        callTimeoutMs: STORE_CALL_TIMEOUT_MS,
        maxBackoffMs: MAX_STORE_BACKOFF_MS,
        onCall: (operation, outcome) => metrics.storeCalls.inc({ operation, outcome }),
        onEra: createEraLog(log),
    });

/** Creates the function that logs when the store has been restored from an older copy. */
function createEraLog(log: Logger): (era: number) => void {
    let known: number | undefined;
    return era => {
        if (era !== known) {
            log.info({ era, previous: known }, "store: era changed");
            known = era;
        }
    };
}

/** Creates a generator of ids that are unique among all hosts and all runs of their processes. */
function createIdGenerator(hostId: string): () => string {
    const incarnation = Date.now().toString(36);
    let count = 0;
    return () => {
        count += 1;
        return `${hostId}-${incarnation}-${count}`;
    };
}

function updateGauges(
    context: ForwardingContext,
    hostCount: number,
    behindMs: Readonly<Record<string, number>>,
): void {
    const all = context.directory.listAll();
    Object.entries(behindMs).forEach(([table, ms]) => context.metrics.tableBehindSeconds.set({ table }, ms / 1_000));
    context.metrics.peers.set(hostCount - 1);
    resourceKinds.forEach(kind => context.metrics.callerBytes.set({ kind }, context.resourceBudget.getUsed(kind)));
    context.metrics.endpoints.set({ state: "silent" }, all.filter(endpoint => endpoint.health.isUnresponsive).length);
    context.metrics.endpoints.set({ state: "draining" }, all.filter(endpoint => endpoint.entry.isDraining).length);
    context.metrics.endpoints.set({ state: "cold" }, context.warmup.countCold(readClocks()));
    context.metrics.endpoints.set({ state: "known" }, all.length);
    context.metrics.detouredEndpoints.set(context.links.countDetours());
    context.evacuations.checkDomains(new Set(all.map(({ entry }) => entry.failureDomain)));
}

function updateProcessGauges({ memory, loopDelaySeconds }: ForwardingMetrics, report: ProcessReport): void {
    if (report.rssMb !== undefined) {
        memory.set({ kind: "rss" }, report.rssMb * BYTES_PER_MB);
    }
    memory.set({ kind: "heap" }, report.heapMb * BYTES_PER_MB);
    memory.set({ kind: "heap_limit" }, report.heapLimitMb * BYTES_PER_MB);
    loopDelaySeconds.set(report.loopDelayMs / 1_000);
}
