/** Endpoints that a host may use, with their connections and health. */
import type { FailureDomainId, ServiceId } from "@currantrill/protocol";
import type Logger from "bunyan";
import type { EndpointEntry } from "../../configuration/model/servingConfiguration.js";
import type { PlatformRows } from "../../ports/platformRows.js";
import type { TableRow } from "../../ports/tableSource.js";
import { type ConnectionPool, createConnectionPool } from "./connectionPool.js";
import { createEndpointHealth, type EndpointHealth } from "./endpointHealth.js";

/** Time after the store's return within which an endpoint that lives writes its lapsed entry again. */
const LAPSE_GRACE_MS = 2_300;

export interface Endpoint {
    entry: EndpointEntry;
    readonly pool: ConnectionPool;
    /** Random number of this host for the endpoint, from 0 to 1. */
    readonly bias: number;
    health: EndpointHealth;
}

export interface EndpointDirectory {
    /** Failure domain of this host. */
    readonly ownDomain: FailureDomainId;
    readonly get: (id: string) => Endpoint | undefined;
    readonly findByAddress: (address: string) => Endpoint | undefined;
    /** Endpoints of a service that take new requests. */
    readonly listReady: (service: ServiceId) => readonly Endpoint[];
    readonly listAll: () => readonly Endpoint[];
    readonly applyRows: (rows: readonly TableRow[], afterOutage: boolean) => void;
    /** Drops an entry whose address belongs to another endpoint, until it is published again. */
    readonly markMisdirected: (endpoint: Endpoint) => void;
    readonly close: () => void;
}

export interface EndpointDirectoryOptions {
    readonly ownDomain: FailureDomainId;
    readonly rows: PlatformRows;
    readonly log: Logger;
    readonly onConnect: () => void;
}

/** Creates an empty directory. */
export function createEndpointDirectory(options: EndpointDirectoryOptions): EndpointDirectory {
    const { rows, log, onConnect } = options;
    const endpoints = new Map<string, Endpoint>();
    const lapses = new Map<string, NodeJS.Timeout>();

    const removeEndpoint = (id: string, reason: string): void => {
        const endpoint = endpoints.get(id);
        if (endpoint !== undefined) {
            endpoints.delete(id);
            endpoint.pool.close();
            log.info({ endpoint: id, reason }, "endpoints: removed");
        }
    };
    const cancelLapse = (id: string): void => {
        clearTimeout(lapses.get(id));
        lapses.delete(id);
    };
    const putEndpoint = (entry: EndpointEntry): void => {
        cancelLapse(entry.id);
        const known = endpoints.get(entry.id);
        if (known !== undefined && isSameProcess(known.entry, entry)) {
            if (known.entry.isDraining !== entry.isDraining) {
                log.info({ endpoint: entry.id, isDraining: entry.isDraining }, "endpoints: state changed");
            }
            known.entry = entry;
            return;
        }
        known?.pool.close();
        endpoints.set(entry.id, {
            entry,
            pool: createConnectionPool(entry.address, onConnect),
            bias: Math.random(),
            health: createEndpointHealth(performance.now()),
        });
        log.info({ endpoint: entry.id, service: entry.service, address: entry.address }, "endpoints: added");
    };
    const lapseEndpoint = (id: string): void => {
        cancelLapse(id);
        lapses.set(id, setTimeout(() => removeEndpoint(id, "lapsed"), LAPSE_GRACE_MS));
    };
    const applyRow = (row: TableRow, afterOutage: boolean): void => {
        if (row.value === undefined) {
            if (afterOutage) {
                lapseEndpoint(row.key);
                return;
            }
            cancelLapse(row.key);
            removeEndpoint(row.key, "entry removed");
            return;
        }
        const decoded = rows.decodeEndpoint(row.key, row.value);
        if (decoded.ok) {
            putEndpoint(decoded.value);
            return;
        }
        log.warn({ endpoint: row.key, ...decoded.finding }, "endpoints: entry not readable, not used");
        cancelLapse(row.key);
        removeEndpoint(row.key, "entry not readable");
    };
    return {
        ownDomain: options.ownDomain,
        get: id => endpoints.get(id),
        findByAddress: address => [...endpoints.values()].find(({ entry }) => entry.address === address),
        listReady: service =>
            [...endpoints.values()].filter(({ entry }) => entry.service === service && !entry.isDraining),
        listAll: () => [...endpoints.values()],
        applyRows: (changed, afterOutage) => changed.forEach(row => applyRow(row, afterOutage)),
        markMisdirected: endpoint => {
            if (endpoints.get(endpoint.entry.id) === endpoint) {
                removeEndpoint(endpoint.entry.id, "address belongs to another endpoint");
            }
        },
        close: () => {
            lapses.forEach(timer => clearTimeout(timer));
            endpoints.forEach(endpoint => endpoint.pool.close());
        },
    };
}

const isSameProcess = (a: EndpointEntry, b: EndpointEntry): boolean =>
    a.address === b.address && a.bornAtMs === b.bornAtMs && a.service === b.service;
