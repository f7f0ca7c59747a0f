/**
 * Hosts that ask each other for permits on a paused clock. Messages take a millisecond; views of the fleet follow a lost
 * link as late as those of real hosts do. Each host sends at every step for which it has a permit.
 */
import { readClocks, toFailureDomainId, toServiceId } from "@currantrill/protocol";
import bunyan from "bunyan";
import { vi } from "vitest";
import type { ColdPolicy, EndpointEntry } from "../../src/configuration/model/servingConfiguration.js";
import { createEndpointDirectory, type EndpointDirectory } from "../../src/endpoints/model/endpointDirectory.js";
import type { MessageHandler } from "../../src/peers/commands/openPeerSocket.js";
import { decodeMessage } from "../../src/peers/queries/messageCodec.js";
import { type Permits, startPermits } from "../../src/permits/commands/startPermits.js";
import type { PlatformRows } from "../../src/ports/index.js";
import { isPermitCurrent } from "../../src/warmup/queries/isPermitCurrent.js";

const LATENCY_MS = 1;
/** As in `silenceTracker.ts` and `peerTable.ts`. */
const SILENCE_MS = 1_600;
const PEER_TIMEOUT_MS = 2_500;
/** Views are kept for a time, since ranking 340 hosts for each decision takes minutes. */
const VIEW_VALID_MS = 50;
/** Time in which peers hear of a host that has resumed: two heartbeats, of which one is lost. */
const REDISCOVERY_MS = 1_000;
const WINDOW_MS = 1_000;
const domains = ["a", "b", "c"].map(toFailureDomainId);

export interface SimulatedHost {
    readonly address: string;
    readonly domain: string;
    readonly directory: EndpointDirectory;
    readonly permits: Permits;
    /** Peers that this host no longer hears from, with the time since when. */
    readonly lost: Map<string, number>;
    readonly handlers: Map<string, MessageHandler>;
    readonly inbox: Buffer[];
    /** What the host does as soon as it runs again. */
    readonly onResume: (() => void)[];
    side: number;
    isFrozen: boolean;
    isStopped: boolean;
}

export interface Simulation {
    readonly hosts: SimulatedHost[];
    /** Times of the requests of all hosts to the first endpoint. */
    readonly sentAtMs: number[];
    /** The same of each endpoint. */
    readonly sentTo: ReadonlyMap<string, number[]>;
    readonly run: (ms: number) => Promise<void>;
    /** Moves hosts to another side of a partition; hosts on different sides do not reach each other. */
    readonly isolate: (hosts: readonly SimulatedHost[], side: number) => void;
    readonly freeze: (host: SimulatedHost) => void;
    readonly resume: (host: SimulatedHost) => void;
    readonly stop: (host: SimulatedHost) => void;
    /** Starts a host whose address ranks before those of all others of its domain. */
    readonly addHost: (side: number) => SimulatedHost;
    readonly findGranter: () => SimulatedHost;
}

/** Returns the most requests in any second. */
export const countMostPerSecond = (times: readonly number[]): number => {
    const sorted = [...times].sort((a, b) => a - b);
    let first = 0;
    let most = 0;
    sorted.forEach((time, index) => {
        while (time - (sorted[first] ?? 0) >= WINDOW_MS) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
};

export interface SimulationOptions {
    readonly hosts: number;
    readonly policy: ColdPolicy | undefined;
    /** Changes of the endpoint's entry, which says that it is cold. */
    readonly entry?: Partial<EndpointEntry>;
    /** Time between two steps; all hosts choose at each of them. */
    readonly stepMs?: number;
    readonly endpointIds?: readonly string[];
}

export function startSimulation(
    { hosts: count, policy, entry, stepMs = 10, endpointIds = ["e"] }: SimulationOptions,
): Simulation {
    const sentTo = new Map(endpointIds.map((id): [string, number[]] => [id, []]));
    const hosts: SimulatedHost[] = [];
    const byAddress = new Map<string, SimulatedHost>();
    const isLinked = (a: SimulatedHost, b: SimulatedHost): boolean =>
        a.side === b.side && !a.isFrozen && !b.isFrozen && !a.isStopped && !b.isStopped;
    /** Updates the views of a host and of its peers after its links have changed. */
    const relink = (host: SimulatedHost): void => {
        const nowMs = performance.now();
        for (const peer of hosts.filter(each => each !== host)) {
            for (const [one, other] of [[host, peer], [peer, host]] as const) {
                if (isLinked(one, other)) {
                    one.lost.delete(other.address);
                }
                else if (!one.lost.has(other.address)) {
                    one.lost.set(other.address, nowMs);
                }
            }
        }
    };
    const receive = (host: SimulatedHost, data: Buffer): void => {
        if (host.isFrozen) {
            host.inbox.push(data);
            return;
        }
        const message = decodeMessage(data);
        if (message !== undefined && !host.isStopped) {
            host.handlers.get(message.kind)?.(message.fields, performance.now());
        }
    };
    /** Messages that were sent at the same time arrive by one timer, since the fake clock searches all timers. */
    let inFlight: (() => void)[] = [];
    const deliver = (): void => {
        const messages = inFlight;
        inFlight = [];
        messages.forEach(message => message());
    };
    const send = (from: SimulatedHost, data: Buffer, targets: readonly string[]): void => {
        if (inFlight.length === 0) {
            setTimeout(deliver, LATENCY_MS);
        }
        for (const target of targets) {
            const peer = byAddress.get(target);
            if (from.side === peer?.side && !from.isStopped) {
                inFlight.push(() => receive(peer, data));
            }
        }
    };
    const createHost = (address: string, domain: string, side: number): SimulatedHost => {
        const directory = createDirectory(domain, policy, endpointIds, entry);
        const handlers = new Map<string, MessageHandler>();
        const host = {
            address,
            domain,
            directory,
            lost: new Map<string, number>(),
            handlers,
            inbox: [],
            onResume: [],
            side,
            isFrozen: false,
            isStopped: false,
        } as unknown as SimulatedHost & { permits: Permits; };
        const views = new Map<string, { readonly atMs: number; readonly addresses: string[]; }>();
        const listAlive = (domainId: string, timeoutMs: number): string[] => {
            const key = `${domainId} ${timeoutMs}`;
            const nowMs = performance.now();
            const known = views.get(key);
            if (known !== undefined && nowMs - known.atMs < VIEW_VALID_MS) {
                return known.addresses;
            }
            const addresses = hosts.filter(peer => {
                const lostAtMs = peer.domain === domainId ? host.lost.get(peer.address) : -Infinity;
                return peer !== host && (lostAtMs === undefined || nowMs - lostAtMs < timeoutMs);
            }).map(peer => peer.address).concat(domainId === domain ? [address] : []).sort();
            views.set(key, { atMs: nowMs, addresses });
            return addresses;
        };
        const listCoordinators = (domainId: string): string[] => listAlive(domainId, SILENCE_MS).slice(0, 2);
        const startTimer = globalThis.setInterval;
        const spy = vi.spyOn(globalThis, "setInterval").mockImplementation(
            ((callback: () => void, ms: number) =>
                startTimer(() => host.isFrozen ? undefined : callback(), ms)) as never,
        );
        host.permits = startPermits({
            directory,
            address,
            hasSeeds: true,
            metrics: { permits: { inc: () => undefined } as never },
            socket: {
                setHandler: (kind, handle) => void handlers.set(kind, handle),
                send: (data, targets) => send(host, data, targets),
                close: () => undefined,
            },
            fleet: {
                countHosts: () => domains.reduce((sum, each) => sum + listAlive(each, PEER_TIMEOUT_MS).length, 0),
                countByDomain: () =>
                    Object.fromEntries(domains.map(each => [each, listAlive(each, PEER_TIMEOUT_MS).length])),
                listCoordinators,
                listLocalDomain: () => listAlive(domain, PEER_TIMEOUT_MS),
                listRemoteCoordinators: () => domains.filter(each => each !== domain).flatMap(listCoordinators),
            },
        });
        spy.mockRestore();
        byAddress.set(address, host);
        return host;
    };
    let turn = 0;
    const trySend = async (host: SimulatedHost): Promise<void> => {
        turn += 1;
        const all = host.directory.listAll();
        const available = all.filter(each => host.permits.hasRoom(each, 0));
        const endpoint = available[turn % available.length];
        if (endpoint === undefined) {
            return;
        }
        if (await host.permits.acquire({ endpoints: [endpoint], permitsLeft: 0 })) {
            const permitted = { endpoints: [endpoint], at: readClocks() };
            const record = (): void => {
                if (isPermitCurrent(permitted, readClocks())) {
                    sentTo.get(endpoint.entry.id)?.push(performance.now());
                }
            };
            if (host.isFrozen) {
                host.onResume.push(record);
            }
            else {
                record();
            }
        }
    };
    for (let index = 0; index < count; index += 1) {
        const domain = domains[index % domains.length] ?? "a";
        hosts.push(createHost(`10.0.1.${String(index).padStart(3, "0")}:1`, domain, 0));
    }
    return {
        hosts,
        sentAtMs: sentTo.get(endpointIds[0] ?? "") ?? [],
        sentTo,
        run: async ms => {
            for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
                hosts.filter(host => !host.isFrozen && !host.isStopped).forEach(host => void trySend(host));
                await vi.advanceTimersByTimeAsync(stepMs);
            }
        },
        isolate: (moved, side) => {
            moved.forEach(host => void (host.side = side));
            moved.forEach(relink);
        },
        freeze: host => {
            host.isFrozen = true;
            relink(host);
        },
        resume: host => {
            host.isFrozen = false;
            // The socket has buffered the messages of all peers meanwhile; they hear of the host later.
            hosts.filter(peer => isLinked(host, peer)).forEach(peer => host.lost.delete(peer.address));
            setTimeout(() => relink(host), REDISCOVERY_MS);
            host.onResume.splice(0).forEach(act => act());
            host.inbox.splice(0).forEach(data => receive(host, data));
        },
        stop: host => {
            host.isStopped = true;
            relink(host);
        },
        addHost: side => {
            const host = createHost("10.0.0.1:1", "a", side);
            hosts.push(host);
            hosts.forEach(peer => peer !== host && host.lost.set(peer.address, -Infinity));
            relink(host);
            return host;
        },
        findGranter: () => hosts[0]!,
    };
}

function createDirectory(
    domain: string,
    policy: ColdPolicy | undefined,
    ids: readonly string[],
    changes: Partial<EndpointEntry> = { coldRemainingMs: policy?.durationMs ?? 0 },
): EndpointDirectory {
    const entry: EndpointEntry = {
        id: "",
        service: toServiceId("s"),
        address: "127.0.0.1:1",
        failureDomain: toFailureDomainId("a"),
        isDraining: false,
        slots: 4,
        processStartedAtMs: 1,
        ...changes,
    };
    const directory = createEndpointDirectory({
        hostFailureDomain: toFailureDomainId(domain),
        rows: { decodeEndpoint: (id: string) => ({ ok: true, value: { ...entry, id } }) } as unknown as PlatformRows,
        log: bunyan.createLogger({ name: "test", level: bunyan.FATAL + 1 }),
        isEvacuated: () => false,
        onConnect: () => undefined,
        onNotice: () => undefined,
        getColdPolicy: () => policy,
    });
    directory.applyRows(ids.map(key => ({ key, version: 1, value: Buffer.from("") })), false);
    return directory;
}
