/** Hosts with a replica of one table each, an in-memory store, and a network between the hosts, on the paused clock. */
import type { requestJson } from "@currantrill/http";
import bunyan from "bunyan";
import { vi } from "vitest";
import { createTableFetcher } from "../../src/peers/commands/createTableFetcher.js";
import { exportTable, type TableCopy } from "../../src/peers/model/tableCopy.js";
import type { TableChanges, TableRow, TableSource } from "../../src/ports/tableSource.js";
import { type TrackedTable, trackTable } from "../../src/replicas/commands/trackTable.js";

const log = bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 });

const HEARTBEAT_MS = 500;
const ANNOUNCEMENT_DELAY_MS = 20;
const NETWORK_DELAY_MS = 2;
const FEED_POLL_MS = 2_500;
const STORE_CALL_TIMEOUT_MS = 900;
const STORE_DELAY_MS = 4;

/** How the store treats a host, or a peer the fetches from it. */
export type StoreFault = "unavailable" | "silentFeed" | "goneAndStale";
export type PeerFault = "lost" | "refusing" | "announcesOnly";

export interface Change {
    readonly keys: readonly string[];
    readonly afterOutage: boolean;
    readonly atMs: number;
}

/** What a test sets at a host. */
export interface HostState {
    follows: boolean;
    storeFault: StoreFault | undefined;
    peerFault: PeerFault | undefined;
    /** Whether announcements reach this host. */
    isDeaf: boolean;
}

export interface ReplicaHost extends HostState {
    readonly name: string;
    readonly table: TrackedTable;
    readonly changes: Change[];
}

export interface ReplicaFleet {
    readonly hosts: readonly ReplicaHost[];
    readonly store: MemoryStore;
    /** Announces the tables of a host to all others. */
    readonly announce: (host: ReplicaHost) => void;
    /** Waits until a host has a row, and returns how long that took; `undefined` if it took longer than the limit. */
    readonly measureArrival: (host: ReplicaHost, key: string, limitMs: number) => Promise<number | undefined>;
    readonly stop: () => void;
}

export interface MemoryStore {
    readonly put: (key: string) => void;
    readonly remove: (key: string) => void;
    readonly getVersion: () => number;
}

interface Log extends MemoryStore {
    readonly read: () => TableChanges;
    readonly readAfter: (version: number) => TableChanges;
    readonly readStale: () => TableChanges;
}

function createStore(): Log {
    const history: TableRow[] = [];
    const add = (row: Omit<TableRow, "version">): void => void history.push({ ...row, version: history.length + 1 });
    const readUpTo = (version: number): TableChanges => ({
        version,
        rows: [...new Map(history.slice(0, version).map(row => [row.key, row])).values()]
            .filter(row => row.value !== undefined),
    });
    return {
        put: key => add({ key, value: Buffer.from(key) }),
        remove: key => add({ key }),
        getVersion: () => history.length,
        read: () => readUpTo(history.length),
        readAfter: version => ({ version: history.length, rows: history.slice(version) }),
        readStale: () => readUpTo(Math.max(0, history.length - 2)),
    };
}

const fail = async (afterMs: number): Promise<never> => {
    await wait(afterMs);
    throw new Error("no response");
};
const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

function createSource(store: Log, host: HostState): TableSource {
    const faults: Readonly<Record<StoreFault, Partial<Pick<TableSource, "readTable" | "awaitChanges">>>> = {
        unavailable: {
            readTable: () => fail(STORE_CALL_TIMEOUT_MS),
            awaitChanges: (_table, _after, waitMs) => fail(waitMs + STORE_CALL_TIMEOUT_MS),
        },
        silentFeed: { awaitChanges: (_table, _after, waitMs) => fail(waitMs + STORE_CALL_TIMEOUT_MS) },
        goneAndStale: {
            readTable: () => wait(STORE_DELAY_MS).then(store.readStale),
            awaitChanges: () => wait(STORE_DELAY_MS).then(() => undefined),
        },
    };
    const healthy: Pick<TableSource, "readTable" | "awaitChanges"> = {
        readTable: () => wait(STORE_DELAY_MS).then(store.read),
        awaitChanges: async (_table, after, waitMs) => {
            const untilMs = performance.now() + waitMs;
            for (;;) {
                await wait(STORE_DELAY_MS);
                if (store.getVersion() > after || performance.now() >= untilMs || host.storeFault !== undefined) {
                    return store.readAfter(after);
                }
            }
        },
    };
    const choose = (): Pick<TableSource, "readTable" | "awaitChanges"> => {
        const { storeFault } = host;
        return storeFault === undefined ? healthy : { ...healthy, ...faults[storeFault] };
    };
    return {
        readTable: table => choose().readTable(table),
        awaitChanges: (...call) => choose().awaitChanges(...call),
        putRow: () => Promise.resolve(),
        replaceRow: () => Promise.resolve(false),
        removeRow: () => Promise.resolve(),
    };
}

/** Starts hosts; those of `followers` follow the store, the others copy from peers. Needs fake timers. */
export function startReplicaFleet(names: readonly string[], followers: readonly string[]): ReplicaFleet {
    const store = createStore();
    const hosts: ReplicaHost[] = [];
    const request = (async (url: string, options: { timeoutMs: number; }) => {
        const [, name, after] = /^http:\/\/([^/]+)\/tables\/t\?after=(-?\d+)$/.exec(url) ?? [];
        const peer = hosts.find(host => host.name === name);
        await wait(NETWORK_DELAY_MS);
        const { peerFault } = peer ?? {};
        if (peer === undefined || peerFault === "lost" || peerFault === "announcesOnly") {
            return fail(options.timeoutMs - NETWORK_DELAY_MS);
        }
        const isRefused = peerFault === "refusing";
        // A message leaves the process as text.
        const body = isRefused ? {} : JSON.parse(JSON.stringify(exportTable(peer.table, Number(after)))) as TableCopy;
        return { status: isRefused ? 503 : 200, headers: {}, body };
    }) as typeof requestJson;
    const fetchers = new Map<ReplicaHost, ReturnType<typeof createTableFetcher>>();
    const announce = (from: ReplicaHost): void => {
        if (from.peerFault === "lost") {
            return;
        }
        hosts.filter(host => host !== from && !host.isDeaf).forEach(host =>
            fetchers.get(host)?.synchronizeWith(from.name, { t: from.table.getReplica().lastChangeVersion })
        );
    };
    for (const name of names) {
        const changes: Change[] = [];
        const state: HostState = {
            follows: followers.includes(name),
            storeFault: undefined,
            peerFault: undefined,
            isDeaf: false,
        };
        const host: ReplicaHost = Object.assign(state, {
            name,
            changes,
            table: trackTable({
                table: "t",
                source: createSource(store, state),
                log,
                getWaitMs: () => FEED_POLL_MS,
                getBatchDelayMs: () => 36,
                shouldFollow: () => state.follows,
                isCopied: true,
                onRestored: () => undefined,
                onChange: (changed, afterOutage) => {
                    changes.push({ keys: changed.map(row => row.key), afterOutage, atMs: performance.now() });
                    setTimeout(() => announce(host), ANNOUNCEMENT_DELAY_MS);
                },
            }),
        });
        hosts.push(host);
        fetchers.set(host, createTableFetcher({ tables: new Map([["t", host.table]]), log, request }));
    }
    const heartbeats = setInterval(() => hosts.forEach(announce), HEARTBEAT_MS);
    return {
        hosts,
        store,
        announce,
        measureArrival: async (host, key, limitMs) => {
            const startedAtMs = performance.now();
            while (performance.now() - startedAtMs <= limitMs) {
                if (host.table.getReplica().rows.has(key)) {
                    return performance.now() - startedAtMs;
                }
                await vi.advanceTimersByTimeAsync(5);
            }
            return undefined;
        },
        stop: () => {
            clearInterval(heartbeats);
            hosts.forEach(host => host.table.stop());
        },
    };
}
