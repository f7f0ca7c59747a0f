/** Composes the parts of a host that forwards whole requests. */
import { toFailureDomainId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import type Logger from "bunyan";
import { createConfigurationHolder } from "../configuration/model/configurationHolder.js";
import { startProbing } from "../endpoints/commands/startProbing.js";
import { createEndpointDirectory } from "../endpoints/model/endpointDirectory.js";
import { createSightingBoard } from "../endpoints/model/endpointSighting.js";
import { listSightings } from "../endpoints/queries/listSightings.js";
import { listWatched } from "../endpoints/queries/listWatched.js";
import type { ForwardingContext } from "../model/forwardingContext.js";
import { createForwardingMetrics } from "../model/forwardingMetrics.js";
import { publishHost } from "../peers/commands/publishHost.js";
import { startTableRelay, type TableRelay } from "../peers/commands/relayTables.js";
import { type Peers, startPeers } from "../peers/commands/startPeers.js";
import { createLedger } from "../placement/model/ledger.js";
import type { CallerProtocol, CreateTableSource, EndpointProtocol, PlatformRows } from "../ports/index.js";
import type { TrackedTable } from "../replicas/commands/trackTable.js";
import { createSharedRetryBudget } from "../retries/model/sharedRetryBudget.js";
import { drainForwarding } from "./drainForwarding.js";
import { serveForwarding } from "./serveForwarding.js";
import { trackTables } from "./trackTables.js";

/** The store answers within tens of milliseconds; a call without an answer after this time is lost. */
const STORE_CALL_TIMEOUT_MS = 900;
/** A change must be in force two seconds after the store is reached again. */
const MAX_STORE_BACKOFF_MS = 500;
const GAUGE_INTERVAL_MS = 1_000;

export interface ForwardingOptions {
    readonly settings: ForwardingSettings;
    readonly log: Logger;
    readonly callers: CallerProtocol;
    readonly protocol: EndpointProtocol;
    readonly rows: PlatformRows;
    readonly createSource: CreateTableSource;
}

export interface RunningForwarding {
    readonly context: ForwardingContext;
    /** Puts changed settings in force. Addresses take effect at the next start. */
    readonly reload: (settings: ForwardingSettings) => void;
    /** Graceful shutdown: reports not ready, and resolves when the requests in flight have ended. */
    readonly drain: () => Promise<void>;
}

/** Starts a host. Rejects if an address cannot be bound. */
export async function startForwarding(options: ForwardingOptions): Promise<RunningForwarding> {
    const { settings, log, rows } = options;
    const metrics = createForwardingMetrics();
    const source = options.createSource({
        address: settings.store.address,
        callTimeoutMs: STORE_CALL_TIMEOUT_MS,
        maxBackoffMs: MAX_STORE_BACKOFF_MS,
        onCall: (operation, outcome) => metrics.storeCalls.inc({ operation, outcome }),
    });
    const configuration = createConfigurationHolder({
        rows,
        log,
        onChange: index => {
            metrics.configurationVersion.set(index.configuration.version);
            servers.applyLimits(index.configuration.limits);
        },
    });
    const ledger = createLedger(change => peers.announce(change));
    const directory = createEndpointDirectory({
        ownDomain: toFailureDomainId(settings.failure_domain),
        rows,
        log,
        onConnect: () => metrics.connections.inc(),
    });
    const context: ForwardingContext = {
        settings,
        log,
        metrics,
        callers: options.callers,
        protocol: options.protocol,
        directory,
        ledger,
        sightings: createSightingBoard(),
        isSmallFleet: () => peers.fleet.isSmallFleet(),
        budget: createSharedRetryBudget(() => context.settings.retries, () => peers.countHosts()),
        getConfiguration: configuration.get,
        createReservationId: createIdGenerator(settings.host_id),
        isDraining: false,
        inFlight: 0,
    };
    const servers = await serveForwarding(context);
    const shared = new Map<string, TrackedTable>();
    const relay = await startTableRelay(settings.listen.peers, shared, log);
    const peers = startHostPeers(context, shared, relay);
    const tables = trackTables({ rows, source, log, configuration, directory, peers, shared });
    const stopPublishing = publishHost(source, rows.hostTable, settings.listen.peers, log);
    const stopProbing = startProbing({
        directory,
        protocol: options.protocol,
        log,
        listWatched: () => listWatched(context, peers.fleet.listOwnDomain(), settings.listen.peers),
    });
    const gauges = setInterval(() => updateGauges(context, peers.countHosts()), GAUGE_INTERVAL_MS);
    log.info({ settings: settings.listen, failureDomain: settings.failure_domain }, "host: started");
    let drained: Promise<void> | undefined;
    const stop = async (): Promise<void> => {
        peers.setLeaving();
        await drainForwarding(context, servers);
        tables.stop();
        stopPublishing();
        stopProbing();
        clearInterval(gauges);
        peers.close();
        directory.close();
        await relay.close();
        log.info("host: stopped");
    };
    return {
        context,
        reload: changed => {
            context.settings = changed;
            log.level(changed.log_level);
            log.info({ retries: changed.retries, drain: changed.drain }, "host: settings reloaded");
        },
        drain: () => drained ??= stop(),
    };
}

/** Tells peers what this host does and knows, and takes what they tell. */
function startHostPeers(
    context: ForwardingContext,
    shared: ReadonlyMap<string, TrackedTable>,
    relay: TableRelay,
): Peers {
    const { settings, directory, ledger, log, metrics, sightings } = context;
    return startPeers({
        address: settings.listen.peers,
        failureDomain: directory.ownDomain,
        seeds: settings.seeds,
        ledger,
        log,
        findDomain: id => directory.get(id)?.entry.failureDomain,
        getChangedAt: relay.getChangedAt,
        getSightings: () => listSightings(directory, performance.now()),
        hasLostStore: () => [...shared.values()].some(table => table.hasLostStore()),
        onState: state => {
            relay.compare(state.address, state.changedAt);
            sightings.setPeer(state.address, state.sightings, performance.now());
        },
        onDatagram: direction => metrics.datagrams.inc({ direction }),
    });
}

/** Ids that are unique over all starts of all hosts. */
function createIdGenerator(hostId: string): () => string {
    const incarnation = Date.now().toString(36);
    let count = 0;
    return () => {
        count += 1;
        return `${hostId}-${incarnation}-${count}`;
    };
}

function updateGauges(context: ForwardingContext, hosts: number): void {
    const all = context.directory.listAll();
    context.metrics.peers.set(hosts - 1);
    context.metrics.endpoints.set({ state: "silent" }, all.filter(endpoint => endpoint.health.isSilent).length);
    context.metrics.endpoints.set({ state: "draining" }, all.filter(endpoint => endpoint.entry.isDraining).length);
    context.metrics.endpoints.set({ state: "known" }, all.length);
}
