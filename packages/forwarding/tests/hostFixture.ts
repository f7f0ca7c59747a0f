/** Starts a host on loopback with an in-memory store, and endpoints that each test scripts on raw sockets. */
import { toFailureDomainId, toServiceId, toWorkspaceId } from "@currantrill/protocol";
import type { ForwardingSettings } from "@currantrill/settings";
import { findFreePorts } from "@currantrill/standins";
import bunyan from "bunyan";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { type RunningForwarding, startForwarding } from "../src/commands/startForwarding.js";
import type { EndpointEntry, Route, ServingConfiguration } from "../src/configuration/model/servingConfiguration.js";
import type { SocketConnector } from "../src/endpoints/commands/connectSocket.js";
import type {
    DecodedEvacuation,
    EndpointProtocol,
    EndpointReport,
    TableChanges,
    TableRow,
    TableSource,
} from "../src/ports/index.js";

const service = toServiceId("desk");

export const createRoute = (changes: Partial<Route> = {}): Route => ({
    name: "r",
    host: "desk.example",
    prefix: "/r/",
    kind: "repeatable",
    canResume: false,
    timeoutMs: 5_000,
    targetMs: 2_000,
    targetPauseMs: 400,
    priority: 1,
    attempts: 2,
    allowsAnonymous: true,
    shares: [{ service, weight: 1 }],
    ...changes,
});

/** Endpoint protocol for tests; header names begin with `t-`. */
export const testProtocol: EndpointProtocol = {
    reservedHeaders: new Set(["authorization", "t-deadline", "t-endpoint", "t-workspace", "t-last"]),
    conditionHeaders: new Set(["t-condition"]),
    buildHeaders: attempt => ({
        "t-deadline": String(attempt.deadlineMs),
        "t-endpoint": attempt.endpointId,
        ...(attempt.workspace === undefined ? {} : { "t-workspace": attempt.workspace }),
        ...(attempt.lastEventId === undefined ? {} : { "t-last": String(attempt.lastEventId) }),
    }),
    parseResponse: (status, headers) => ({
        ...(headers["t-id"] === undefined ? {} : { requestId: String(headers["t-id"]) }),
        ...(headers["t-fault"] === undefined ? {} : { faultAddress: String(headers["t-fault"]) }),
        isNotExecuted: headers["t-not-run"] !== undefined,
        isMisdirected: status === 421,
        isSigned: headers["t-signature"] !== undefined,
        isEncoded: headers["content-encoding"] !== undefined,
        notice: {
            ...(headers["t-limit"] === undefined ? {} : { requestsPerSecond: Number(headers["t-limit"]) }),
            isLeaving: headers["t-leaving"] !== undefined,
            ...(headers["t-pause"] === undefined ? {} : { pauseMs: Number(headers["t-pause"]) }),
        },
    }),
    buildReservation: order => ({ method: "POST", path: "/reserve", body: JSON.stringify(order) }),
    buildRelease: id => ({ method: "POST", path: "/release", body: JSON.stringify({ id }) }),
    buildReport: () => ({ method: "GET", path: "/report" }),
    parseReport: body => JSON.parse(body.toString()) as EndpointReport,
};

/** Decodes a row of the operator's table with the key `evacuate/DOMAIN` and the content `{}`. */
export function decodeTestEvacuation(key: string, value: Buffer | undefined): DecodedEvacuation | undefined {
    const domain = toFailureDomainId(key.replace("evacuate/", ""));
    if (domain === key) {
        return undefined;
    }
    const found = value?.toString() ?? "{}";
    return found === "{}" ? { domain } : { domain, finding: { path: "", found } };
}

export interface TestStore extends TableSource {
    readonly put: (table: string, key: string, value: unknown) => void;
    readonly drop: (table: string, key: string) => void;
    /** Number of reads, waits for changes and writes. */
    calls: number;
    /** While it is set, all reads and waits fail. */
    isDown: boolean;
}

/** Creates an in-memory store with a change feed. */
export function createTestStore(): TestStore {
    const rows = new Map<string, Map<string, TableRow>>();
    const waiting = new Set<() => void>();
    let version = 0;
    const change = (table: string, row: TableRow): void => {
        const known = rows.get(table) ?? new Map<string, TableRow>();
        rows.set(table, known.set(row.key, row));
        waiting.forEach(wake => wake());
    };
    const list = (table: string, after: number): TableChanges => ({
        version,
        rows: [...rows.get(table)?.values() ?? []].filter(row => row.version > after),
    });
    const store: TestStore = {
        isDown: false,
        calls: 0,
        put: (table, key, value) => {
            version += 1;
            change(table, { key, version, value: Buffer.from(JSON.stringify(value)) });
        },
        drop: (table, key) => {
            version += 1;
            change(table, { key, version });
        },
        readTable: table => {
            store.calls += 1;
            if (store.isDown) {
                return Promise.reject(new Error("down"));
            }
            const { rows: all } = list(table, -1);
            return Promise.resolve({ version, rows: all.filter(row => row.value !== undefined) });
        },
        awaitChanges: (table, after, waitMs) =>
            new Promise((resolve, reject) => {
                store.calls += 1;
                const finish = (): void => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    if (store.isDown) {
                        reject(new Error("down"));
                        return;
                    }
                    resolve(list(table, after));
                };
                const wake = (): void => {
                    if (store.isDown || list(table, after).rows.length > 0) {
                        finish();
                    }
                };
                const timer = setTimeout(finish, waitMs);
                waiting.add(wake);
                wake();
            }),
        putRow: (table, key, value) => {
            store.calls += 1;
            version += 1;
            change(table, { key, version, value });
            return Promise.resolve();
        },
        replaceRow: (table, key, value, expectedVersion) => {
            store.calls += 1;
            if ((rows.get(table)?.get(key)?.version ?? 0) !== expectedVersion) {
                return Promise.resolve(false);
            }
            version += 1;
            change(table, { key, version, value });
            return Promise.resolve(true);
        },
        removeRow: (table, key) => {
            store.calls += 1;
            store.drop(table, key);
            return Promise.resolve();
        },
    };
    return store;
}

export interface ReceivedRequest {
    readonly method: string;
    readonly target: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

export interface TestEndpoint {
    readonly id: string;
    readonly address: string;
    readonly received: ReceivedRequest[];
    /** Number of connections that have been closed or reset. */
    closed: number;
    /** Header lines that are added to reports. */
    reportHeaders: string;
    /** Whether requests for reports are not answered. */
    isSilent: boolean;
    readonly close: () => void;
}

/** Responds to a request on the raw socket. `count` is the number of requests that the endpoint has received. */
export type EndpointScript = (request: ReceivedRequest, socket: Socket, count: number) => void;

/** Starts an endpoint. It answers report requests itself; `script` answers all others. */
export async function startEndpoint(id: string, script: EndpointScript): Promise<TestEndpoint> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            for (let next = takeRequest(text); next !== undefined; next = takeRequest(text)) {
                text = next.rest;
                if (next.request.target === "/report") {
                    if (endpoint.isSilent) {
                        continue;
                    }
                    socket.write(`HTTP/1.1 200 OK\r\n${endpoint.reportHeaders}content-length: 2\r\n\r\n{}`);
                    continue;
                }
                endpoint.received.push(next.request);
                script(next.request, socket, endpoint.received.length);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            endpoint.closed += 1;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const endpoint: TestEndpoint = {
        id,
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        received: [],
        closed: 0,
        reportHeaders: "",
        isSilent: false,
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
    return endpoint;
}

/** Parses the first complete request of the received text. Returns `undefined` if there is none yet. */
function takeRequest(text: string): { request: ReceivedRequest; rest: string; } | undefined {
    const clean = text.replace(/^(\r\n)+/, "");
    const headEnd = clean.indexOf("\r\n\r\n");
    if (headEnd === -1) {
        return undefined;
    }
    const [first = "", ...lines] = clean.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const bodyEnd = headEnd + 4 + Number(headers["content-length"] ?? 0);
    const [method = "", target = ""] = first.split(" ");
    return clean.length < bodyEnd
        ? undefined
        : { request: { method, target, headers, body: clean.slice(headEnd + 4, bodyEnd) }, rest: clean.slice(bodyEnd) };
}

/** Writes a complete response to a request; `more` is header lines to add. */
export function writeAnswer(socket: Socket, request: ReceivedRequest, status: number, body: string, more = ""): void {
    socket.write(
        `HTTP/1.1 ${status} X\r\nt-id: ${request.headers["t-id"] ?? ""}\r\nt-signature: s\r\n${more}`
            + `content-length: ${body.length}\r\n\r\n${body}`,
    );
}

/** Begins a chunked event stream, which `endStream` ends; `more` is header lines to add. */
export function beginStream(socket: Socket, request: ReceivedRequest, more = ""): void {
    socket.write(
        `HTTP/1.1 200 OK\r\nt-id: ${request.headers["t-id"] ?? ""}\r\nt-signature: ${
            request.headers["t-endpoint"] ?? ""
        }\r\n`
            + `${more}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
    );
}

export const writeChunk = (socket: Socket, text: string): void =>
    void socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
export const formatEvent = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;
export const endStream = (socket: Socket): void => void socket.write("0\r\n\r\n");

export interface TestHost {
    readonly store: TestStore;
    readonly listen: ForwardingSettings["listen"];
    readonly url: string;
    readonly host: RunningForwarding;
    /** Records that the host has logged. */
    readonly logged: Record<string, unknown>[];
    /** Writes a new version of the configuration with changes. */
    readonly configure: (changes: Partial<ServingConfiguration>) => void;
    /** Writes an endpoint's row. */
    readonly publish: (endpoint: Pick<TestEndpoint, "id" | "address">, changes?: Partial<EndpointEntry>) => void;
}

export interface HostOptions {
    /** Grace time of a shutdown. */
    readonly graceMs?: number;
    /** Store of another host; by default the host gets a new store with a first configuration. */
    readonly store?: TestStore;
    readonly seeds?: readonly string[];
    /** Loopback address of the host. */
    readonly ip?: string;
    readonly failureDomain?: string;
    /** Retries allowed regardless of the number of requests. */
    readonly extraRetries?: number;
    /** Store in which the first configuration is written, with rows of its own. */
    readonly storeToUse?: TestStore;
    readonly quarantine?: Partial<ForwardingSettings["quarantine"]>;
    /** Bytes of request bodies that the host may hold. */
    readonly maxBufferedBytes?: number;
    /** File descriptors that the host may use. */
    readonly fileDescriptors?: number;
    /** Connects to endpoints directly. */
    readonly connect?: SocketConnector;
    /** Peer port, which must be the same for hosts that are to discover each other. */
    readonly peerPort?: number;
}

/** Starts a host with one configuration and waits until it is ready. */
export async function startTestHost(
    routes: readonly Route[],
    endpoints: readonly TestEndpoint[],
    options: HostOptions = {},
): Promise<TestHost> {
    const store = options.store ?? options.storeToUse ?? createTestStore();
    const ports = await findFreePorts(4);
    const [callers = "", readiness = "", peers = "", metrics = ""] = [
        ...ports.slice(0, 2),
        options.peerPort ?? ports[2],
        ports[3],
    ]
        .map(port => `${options.ip ?? "127.0.0.1"}:${port ?? 0}`);
    const listen = { callers, readiness, peers, metrics };
    const settings: ForwardingSettings = {
        host_id: "h",
        failure_domain: options.failureDomain ?? "a",
        listen,
        seeds: [...options.seeds ?? []],
        store: { address: "127.0.0.1:1" },
        retries: { ratio: 0.2, extra: options.extraRetries ?? 1_000, window_ms: 10_000 },
        drain: { grace_ms: options.graceMs ?? 2_000 },
        reservations: { free_ms: 2_000 },
        processor: { cores: 1, share: 1 },
        limits: { file_descriptors: options.fileDescriptors ?? 4_200, memory_mb: 202 },
        requests: { max_buffered_bytes: options.maxBufferedBytes ?? 400_000 },
        responses: { max_body_bytes: 300_000, max_event_bytes: 50_000, max_buffered_bytes: 400_000 },
        quarantine: { crashes: 3, retry_after_ms: 30_000, forget_after_ms: 1_800_000, ...options.quarantine },
        log_level: "info",
    };
    let version = 0;
    let current: ServingConfiguration = {
        version,
        routes,
        services: [{ name: service }],
        limits: { maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
    const configure = (changes: Partial<ServingConfiguration>): void => {
        version += 1;
        current = { ...current, ...changes, version };
        store.put("configuration", "current", current);
    };
    const publish = (endpoint: Pick<TestEndpoint, "id" | "address">, changes: Partial<EndpointEntry> = {}): void =>
        store.put(
            "endpoints",
            endpoint.id,
            {
                id: endpoint.id,
                service,
                address: endpoint.address,
                failureDomain: toFailureDomainId("a"),
                isDraining: false,
                slots: 4,
                processStartedAtMs: 1,
                ...changes,
            } satisfies EndpointEntry,
        );
    if (options.store === undefined) {
        configure({});
        endpoints.forEach(endpoint => publish(endpoint));
    }
    const logged: Record<string, unknown>[] = [];
    const log = bunyan.createLogger({
        name: "test",
        streams: [{ type: "raw", stream: { write: (line: Record<string, unknown>) => logged.push(line) } as never }],
    });
    const host = await startForwarding({
        settings,
        log,
        callers: {
            readinessPath: "/ready",
            buildResponseHeaders: id => ({ "t-id": id }),
            parseHeaders: headers => ({
                requestId: headers["t-id"]?.toString() ?? "",
                ...(headers["t-deadline"] === undefined ? {} : { deadlineMs: Number(headers["t-deadline"]) }),
                ...(headers.authorization === undefined ? {} : { authorization: headers.authorization }),
                ...(headers["t-parts"] === undefined ? {} : { sharedParts: String(headers["t-parts"]).split(",") }),
            }),
        },
        protocol: testProtocol,
        rows: {
            configurationTable: "configuration",
            configurationKey: "current",
            endpointTable: "endpoints",
            hostTable: "hosts",
            quarantineTable: "quarantine",
            decodeConfiguration: value => ({ ok: true, value: JSON.parse(value.toString()) as ServingConfiguration }),
            decodeEndpoint: (_key, value) => {
                const entry = JSON.parse(value.toString()) as EndpointEntry | null;
                return entry === null
                    ? { ok: false, finding: { path: "", found: "null" } }
                    : { ok: true, value: entry };
            },
            decodeEvacuation: decodeTestEvacuation,
        },
        createSource: () => store,
        ...(options.connect === undefined ? {} : { connect: options.connect }),
    });
    await waitUntil(() => store.isDown || host.context.directory.listAll().length >= endpoints.length);
    await waitUntil(() => store.isDown || host.context.getConfiguration() !== undefined);
    return { store, listen, url: `http://${listen.callers}`, host, logged, configure, publish };
}

/** Waits for a condition, at most 10 s. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
    const endMs = performance.now() + 10_000;
    while (!isTrue()) {
        if (performance.now() > endMs) {
            throw new Error("condition not met within 10 s");
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

export const desk = toWorkspaceId("desk");
