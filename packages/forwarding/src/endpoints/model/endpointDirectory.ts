/** Directory of the endpoints known from the platform's endpoint table, with their connection pools and health. */
import { type FailureDomainId, readClocks, type ServiceId } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { ColdPolicy, EndpointEntry } from "../../configuration/model/servingConfiguration.js";
import { createEndpointNotices, type EndpointNotices, type NoticeSource } from "../../notices/model/endpointNotices.js";
import type { PlatformRows } from "../../ports/platformRows.js";
import type { TableRow } from "../../ports/tableSource.js";
import { createEndpointWarmth, type EndpointWarmth } from "../../warmup/model/endpointWarmth.js";
import { createWarmupLog, type WarmupLog } from "../../warmup/model/warmupLog.js";
import { type ConnectionPool, createConnectionPool } from "./connectionPool.js";
import { createEndpointHealth, type EndpointHealth } from "./endpointHealth.js";
import type { EndpointConnector } from "./endpointSocket.js";
import { createExpirations } from "./expirations.js";
import { createFormerEndpoints, type FormerEndpoint, isSameProcess } from "./formerEndpoints.js";

/** One endpoint process. A restart under the same id is a new `Endpoint`. */
export interface Endpoint {
    entry: EndpointEntry;
    readonly pool: ConnectionPool;
    /** Random number from 0 to 1 that breaks ties between equal endpoints differently on each host. */
    readonly bias: number;
    health: EndpointHealth;
    readonly notices: EndpointNotices;
    readonly warmth: EndpointWarmth;
}

export interface EndpointDirectory {
    readonly localFailureDomain: FailureDomainId;
    readonly get: (id: string) => Endpoint | undefined;
    readonly findByAddress: (address: string) => Endpoint | undefined;
    /**
     * Lists the endpoints of a service that may get requests: they are not draining, by their entries or their responses,
     * and their failure domain is not evacuated.
     */
    readonly listReady: (service: ServiceId) => readonly Endpoint[];
    readonly listAll: () => readonly Endpoint[];
    /**
     * Applies changed rows of the endpoint table. With `afterOutage`, removed endpoints are kept for a time (`createExpirations`),
     * because their entries may only have expired while the store was unavailable, or have been lost with its last
     * changes; those that respond are kept longer.
     */
    readonly applyRows: (rows: readonly TableRow[], afterOutage: boolean) => void;
    /** Removes an endpoint whose address turned out to belong to another endpoint, until its entry is written again. */
    readonly markMisdirected: (endpoint: Endpoint) => void;
    readonly close: () => void;
}

export interface EndpointDirectoryOptions {
    readonly hostFailureDomain: FailureDomainId;
    readonly rows: Pick<PlatformRows, "decodeEndpoint">;
    readonly isEvacuated: (domain: FailureDomainId) => boolean;
    readonly log: Logger;
    /** Called for each connection established to an endpoint. */
    readonly onConnect: () => void;
    /** Connects to endpoints; directly by default. */
    readonly connect?: EndpointConnector;
    /** Returns whether an idle connection may be reused, by the peer that relays it. */
    readonly isReusable?: (relay: string | undefined) => boolean;
    /** Called when a notice of an endpoint changes. */
    readonly onNotice: (source: NoticeSource) => void;
    /** Returns how cold endpoints of a service are treated; without it none is cold. */
    readonly getColdPolicy?: (service: ServiceId) => ColdPolicy | undefined;
}

export function createEndpointDirectory(options: EndpointDirectoryOptions): EndpointDirectory {
    const { rows, log, isEvacuated } = options;
    const endpoints = new Map<string, Endpoint>();
    const formerEndpoints = createFormerEndpoints();
    const warmupLog = createWarmupLog(log);
    /** Whether the first copy of the table has been applied. Processes in it do not count as just started. */
    let hasFirstSnapshot = false;

    const removeEndpoint = (id: string, reason: string): void => {
        const endpoint = endpoints.get(id);
        if (endpoint !== undefined) {
            endpoints.delete(id);
            formerEndpoints.add(endpoint);
            endpoint.pool.close();
            log.info({ endpoint: id, reason }, "endpoints: removed");
        }
    };
    const expirations = createExpirations({
        getLastResponseMs: id => endpoints.get(id)?.health.lastResponseAtMs ?? -Infinity,
        onExpire: id => removeEndpoint(id, "lapsed"),
    });
    const putEndpoint = (entry: EndpointEntry): void => {
        expirations.cancel(entry.id);
        const existing = endpoints.get(entry.id);
        if (existing !== undefined && isSameProcess(existing.entry, entry)) {
            // A process that drains ends. A restored store may have its entry from before.
            const isDraining = existing.entry.isDraining || entry.isDraining;
            if (existing.entry.isDraining !== isDraining) {
                log.info({ endpoint: entry.id, isDraining }, "endpoints: state changed");
            }
            existing.entry = { ...entry, isDraining };
            existing.warmth.recordRow(entry, performance.now());
            return;
        }
        existing?.pool.close();
        const former = formerEndpoints.take(entry);
        const endpoint = createEndpoint(options, entry, former, { hasJustStarted: hasFirstSnapshot, warmupLog });
        endpoint.warmth.recordRow(entry, performance.now());
        endpoints.set(entry.id, endpoint);
        const isKnown = former !== undefined;
        log.info({ endpoint: entry.id, service: entry.service, address: entry.address, isKnown }, "endpoints: added");
    };
    const applyRow = (row: TableRow, afterOutage: boolean): void => {
        if (row.value === undefined) {
            if (afterOutage) {
                log.info({ endpoint: row.key }, "endpoints: entry is missing after an outage");
                expirations.schedule(row.key);
                return;
            }
            expirations.cancel(row.key);
            removeEndpoint(row.key, "entry removed");
            return;
        }
        const decoded = rows.decodeEndpoint(row.key, row.value);
        if (decoded.ok) {
            putEndpoint(decoded.value);
            return;
        }
        log.warn({ endpoint: row.key, ...decoded.finding }, "endpoints: invalid entry ignored");
        expirations.cancel(row.key);
        removeEndpoint(row.key, "entry not readable");
    };
    return {
        localFailureDomain: options.hostFailureDomain,
        get: id => endpoints.get(id),
        findByAddress: address => [...endpoints.values()].find(({ entry }) => entry.address === address),
        listReady: service => [...endpoints.values()].filter(createReadyFilter(service, isEvacuated)),
        listAll: () => [...endpoints.values()],
        applyRows: (changed, afterOutage) => {
            changed.forEach(row => applyRow(row, afterOutage));
            hasFirstSnapshot = true;
        },
        markMisdirected: endpoint => {
            if (endpoints.get(endpoint.entry.id) === endpoint) {
                removeEndpoint(endpoint.entry.id, "address belongs to another endpoint");
            }
        },
        close: () => {
            expirations.close();
            endpoints.forEach(endpoint => endpoint.pool.close());
        },
    };
}

interface NewProcess {
    /** Whether the process has started while this host followed the table. */
    readonly hasJustStarted: boolean;
    readonly warmupLog: WarmupLog;
}

/** Creates the endpoint of an entry. If its process was known before, what it has said still holds. */
function createEndpoint(
    { log, onNotice, getColdPolicy, ...poolOptions }: EndpointDirectoryOptions,
    entry: EndpointEntry,
    former: FormerEndpoint | undefined,
    { hasJustStarted, warmupLog }: NewProcess,
): Endpoint {
    const nowMs = performance.now();
    return {
        entry: { ...entry, isDraining: former?.entry.isDraining === true || entry.isDraining },
        pool: createConnectionPool(entry.address, poolOptions),
        bias: Math.random(),
        health: createEndpointHealth(nowMs),
        notices: former?.notices ?? createEndpointNotices({ endpointId: entry.id, log, onChange: onNotice }),
        warmth: former?.warmth ?? createEndpointWarmth({
            endpointId: entry.id,
            hasJustStarted: hasJustStarted && entry.coldRemainingMs !== 0,
            nowMs,
            getPolicy: () => getColdPolicy?.(entry.service),
            log: warmupLog,
            onChange: onNotice,
        }),
    };
}

/** Creates a filter of the endpoints of a service that may get requests now. */
function createReadyFilter(
    service: ServiceId,
    isEvacuated: (domain: FailureDomainId) => boolean,
): (endpoint: Endpoint) => boolean {
    const now = readClocks();
    return ({ entry, notices }) =>
        entry.service === service && !entry.isDraining && !notices.isLeaving(now) && !isEvacuated(entry.failureDomain);
}
