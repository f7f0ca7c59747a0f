/** Two hosts with one store, endpoints whose processes a test ends, and callers that send the same requests again. */
import { request as sendHttp } from "undici";
import type { Route, WorkspaceKeys } from "../../../src/configuration/model/servingConfiguration.js";
import { createRoute, startTestHost, type TestHost, waitUntil } from "../../hostFixture.js";
import { type EndpointProcess, type ProcessRequest, startEndpointProcess, STREAM_EVENTS } from "./endpointProcess.js";

export interface FleetOptions {
    readonly endpoints: number;
    readonly route: Partial<Route>;
    readonly workspaces?: readonly WorkspaceKeys[];
    /** Status of the answers of endpoints; 200 by default. */
    readonly answerStatus?: number;
    /** Time in which endpoints answer. */
    readonly answerMs: number;
    /** Time from the end of a process until the next one of the endpoint is published. */
    readonly downMs: number;
}

/** Selects requests as endpoints receive them. */
export type RequestFilter = (received: ProcessRequest) => boolean;

/** A request as a caller sends it. Each sending has an id of its own. */
export interface CallerRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    /** Key of the caller's workspace. */
    readonly key?: string;
    /** Time after which the caller disconnects. */
    readonly giveUpAfterMs?: number;
}

/** Result of the caller's first attempt; it does not repeat it. */
export interface CallerReply {
    readonly request: CallerRequest;
    /** Status, or 0 if the response was broken off. */
    readonly status: number;
    /** Error code of a refusal. */
    readonly code: string | undefined;
    readonly retryAfter: string | undefined;
    /** Whether an endpoint could answer: none ended while the request was in progress, and hosts knew a running one. */
    readonly couldBeAnswered: boolean;
}

export interface FaultyFleet {
    readonly hosts: readonly TestHost[];
    /** Requests that processes have begun to run. */
    readonly received: readonly ProcessRequest[];
    /** Number of processes that have ended so far. */
    readonly countEnded: () => number;
    readonly listIndexes: () => readonly number[];
    readonly getProcess: (index: number) => EndpointProcess;
    /** Ends a process as soon as it runs a request that matches, and starts the next one of its endpoint later. */
    readonly endProcess: (index: number, matches: RequestFilter) => Promise<void>;
    /** Ends all processes at the same moment. */
    readonly endAll: () => void;
    /** Sets the requests by which each process ends that runs one of them. */
    readonly setCrashing: (matches: RequestFilter) => void;
    /** Waits until all endpoints run and both hosts know their processes. */
    readonly awaitRecovery: () => Promise<void>;
    readonly send: (hostIndex: number, request: CallerRequest) => Promise<CallerReply>;
    readonly close: () => Promise<void>;
}

/** Time that an endpoint runs a request that ends it. */
const CRASH_DELAY_MS = 15;

interface EndpointState {
    readonly id: string;
    process: EndpointProcess;
    /** Number of processes so far. */
    generation: number;
    isRunning: boolean;
}

export async function startFaultyFleet(options: FleetOptions): Promise<FaultyFleet> {
    const endpoints: EndpointState[] = [];
    const received: ProcessRequest[] = [];
    const restarts = new Set<NodeJS.Timeout>();
    let isCrashing: RequestFilter = () => false;
    let isClosed = false;
    let ended = 0;
    let sent = 0;

    const publish = ({ id, process, generation }: EndpointState): void =>
        first.publish({ id, address: process.address }, { processStartedAtMs: generation, slots: 8 });
    const startProcess = (index: number): Promise<EndpointProcess> =>
        startEndpointProcess({
            id: `e${index}`,
            isStream: options.route.kind === "stream",
            answerMs: options.answerMs,
            answerStatus: options.answerStatus ?? 200,
            onRequest: each => {
                received.push(each);
                const endpoint = endpoints[index];
                if (endpoint === undefined || !isCrashing(each)) {
                    return true;
                }
                const { generation } = endpoint;
                setTimeout(() => endGeneration(index, generation), CRASH_DELAY_MS);
                return false;
            },
        });
    const restart = async (index: number, endpoint: EndpointState): Promise<void> => {
        endpoint.process = await startProcess(index);
        if (isClosed) {
            endpoint.process.end();
            return;
        }
        endpoint.generation += 1;
        endpoint.isRunning = true;
        publish(endpoint);
    };
    const endGeneration = (index: number, generation: number): void => {
        const endpoint = endpoints[index]!;
        if (!endpoint.isRunning || endpoint.generation !== generation) {
            return;
        }
        endpoint.isRunning = false;
        endpoint.process.end();
        ended += 1;
        const timer = setTimeout(() => {
            restarts.delete(timer);
            void restart(index, endpoint);
        }, options.downMs);
        restarts.add(timer);
    };
    const isKnown = ({ host }: TestHost, { id, process, isRunning }: EndpointState): boolean =>
        isRunning && host.context.directory.get(id)?.entry.address === process.address;

    const routes = [createRoute(options.route)];
    const first = await startTestHost(routes, [], { graceMs: 200 });
    if (options.workspaces !== undefined) {
        first.configure({ workspaces: options.workspaces });
    }
    for (let index = 0; index < options.endpoints; index += 1) {
        const process = await startProcess(index);
        const endpoint: EndpointState = { id: `e${index}`, process, generation: 1, isRunning: true };
        endpoints.push(endpoint);
        publish(endpoint);
    }
    const second = await startTestHost(routes, [], {
        graceMs: 200,
        store: first.store,
        ip: "127.0.0.2",
        peerPort: Number(first.listen.peers.split(":")[1]),
        seeds: ["127.0.0.1:1"],
    });
    const hosts = [first, second];
    const awaitRecovery = (): Promise<void> =>
        waitUntil(() => endpoints.every(endpoint => hosts.every(host => isKnown(host, endpoint))));
    await waitUntil(() => hosts.every(({ logged }) => logged.some(line => line["msg"] === "peers: peer is alive")));
    await awaitRecovery();
    return {
        hosts,
        received,
        awaitRecovery,
        countEnded: () => ended,
        listIndexes: () => [...endpoints.keys()],
        getProcess: index => endpoints[index]!.process,
        endProcess: async (index, matches) => {
            const endpoint = endpoints[index]!;
            await waitUntil(() => endpoint.isRunning && endpoint.process.countRunning(matches) > 0);
            endGeneration(index, endpoint.generation);
        },
        endAll: () => endpoints.forEach(({ generation }, index) => endGeneration(index, generation)),
        setCrashing: matches => {
            isCrashing = matches;
        },
        send: async (hostIndex, request) => {
            const host = hosts[hostIndex]!;
            sent += 1;
            const endedBefore = ended;
            const hadEndpoint = endpoints.some(endpoint => isKnown(host, endpoint));
            const reply = await sendRequest(host, request, `q${sent}`);
            return { ...reply, request, couldBeAnswered: hadEndpoint && ended === endedBefore };
        },
        close: async () => {
            isClosed = true;
            restarts.forEach(timer => clearTimeout(timer));
            await Promise.all(hosts.map(({ host }) => host.drain()));
            endpoints.forEach(({ process }) => process.end());
        },
    };
}

async function sendRequest(
    host: TestHost,
    { method, path, body, key, giveUpAfterMs }: CallerRequest,
    id: string,
): Promise<Pick<CallerReply, "status" | "code" | "retryAfter">> {
    try {
        const response = await sendHttp(`${host.url}${path}`, {
            method,
            headers: {
                "host": "desk.example",
                "t-id": id,
                ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
            },
            ...(body === undefined ? {} : { body }),
            ...(giveUpAfterMs === undefined ? {} : { signal: AbortSignal.timeout(giveUpAfterMs) }),
        });
        const text = await response.body.text();
        const isStream = response.headers["content-type"] === "text/event-stream";
        const isWhole = !isStream || text.includes(`data: e${STREAM_EVENTS}\n`);
        const isRefusal = response.headers["content-type"] === "application/json";
        return {
            status: isWhole ? response.statusCode : 0,
            code: isRefusal ? (JSON.parse(text) as { error: { code: string; }; }).error.code : undefined,
            retryAfter: response.headers["retry-after"]?.toString(),
        };
    }
    catch {
        return { status: 0, code: undefined, retryAfter: undefined };
    }
}

export interface Traffic {
    /** Stops sending. Resolves with the replies to all requests. */
    readonly stop: () => Promise<readonly CallerReply[]>;
}

/** Sends requests at a steady pace, in turn to both hosts. `create` gets the number of the request. */
export function startTraffic(
    fleet: FaultyFleet,
    intervalMs: number,
    create: (count: number) => CallerRequest,
): Traffic {
    const replies: Promise<CallerReply>[] = [];
    const timer = setInterval(() => {
        const count = replies.length;
        replies.push(fleet.send(count % fleet.hosts.length, create(count)));
    }, intervalMs);
    return {
        stop: () => {
            clearInterval(timer);
            return Promise.all(replies);
        },
    };
}

const isolationMessages: ReadonlySet<unknown> = new Set([
    "quarantine: request isolated",
    "quarantine: part isolated",
]);

/** Fields of a log line that name the evidence. */
const evidenceFields = ["msg", "crashes", "answers"];

/** Lists what the log lines of all hosts say that has been isolated. */
export const listIsolations = ({ hosts }: FaultyFleet): readonly string[] =>
    hosts.flatMap(({ logged }) => logged.filter(line => isolationMessages.has(line["msg"])))
        .map(line => JSON.stringify(line, evidenceFields));
