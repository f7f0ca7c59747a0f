import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const DEADLY = "/r/deadly";
const SOUND = "/r/sound";
/** An endpoint runs a request this long before its process ends. */
const CRASH_DELAY_MS = 20;
/** Time until the process of an endpoint is started again, under a new id. */
const RESTART_MS = 300;
/** Time between two requests of a caller. */
const INTERVAL_MS = 100;
const ENDPOINTS = 5;
const HOSTS = 3;
const REPEATS = 20;
/** Crashes that prove the request to be at fault, and those of attempts that are sent before the proof is known. */
const MAX_DEADLY_RUNS = 6;

interface Fleet {
    readonly hosts: readonly TestHost[];
    /** Ids of the endpoints that ended, each time that they ran the deadly request. */
    readonly deadlyRuns: string[];
}

/** Starts hosts with endpoints that end once they run the deadly request, and start again as new processes. */
async function startFleet(route: Partial<Route>): Promise<Fleet> {
    const hosts: TestHost[] = [];
    const deadlyRuns: string[] = [];
    let started = 0;
    const start = async (): Promise<TestEndpoint> => {
        started += 1;
        const id = `e${started}`;
        const script: EndpointScript = (received, socket) => {
            if (received.target === DEADLY) {
                deadlyRuns.push(id);
                setTimeout(() => end(endpoint), CRASH_DELAY_MS);
            }
            else if (route.kind === "stream") {
                beginStream(socket, received);
                [1, 2].forEach(event => writeChunk(socket, formatEvent(event)));
                endStream(socket);
            }
            else {
                writeAnswer(socket, received, 200, "done");
            }
        };
        const endpoint = await startEndpoint(id, script);
        closers.push(endpoint.close);
        return endpoint;
    };
    const ended = new Set<TestEndpoint>();
    const end = (endpoint: TestEndpoint): void => {
        if (ended.has(endpoint)) {
            return;
        }
        ended.add(endpoint);
        endpoint.close();
        const timer = setTimeout(() => {
            hosts[0]?.store.drop("endpoints", endpoint.id);
            void start().then(next => hosts[0]?.publish(next));
        }, RESTART_MS);
        closers.push(() => clearTimeout(timer));
    };
    const endpoints = await Promise.all(Array.from({ length: ENDPOINTS }, start));
    for (let index = 0; index < HOSTS; index += 1) {
        const [first] = hosts;
        hosts.push(
            await startTestHost([createRoute(route)], endpoints, {
                graceMs: 200,
                ip: `127.0.0.${index + 1}`,
                seeds: ["127.0.0.1:1"],
                ...(first === undefined
                    ? {}
                    : { store: first.store, peerPort: Number(first.listen.peers.split(":")[1]) }),
            }),
        );
    }
    closers.push(...hosts.map(({ host }) => () => host.drain()));
    await waitUntil(() =>
        hosts.every(({ logged }) => logged.filter(line => line["msg"] === "peers: peer is alive").length >= HOSTS - 1)
    );
    return { hosts, deadlyRuns };
}

interface Reply {
    readonly status: number;
    readonly code?: string;
    readonly retryAfterSeconds: number;
}

/** Sends a request. The status is 0 if the response is broken off. */
async function send(host: TestHost, id: string, target: string): Promise<Reply> {
    try {
        const reply = await request(`${host.url}${target}`, {
            method: "POST",
            headers: { "host": "desk.example", "t-id": id },
            body: "{}",
        });
        const text = await reply.body.text();
        const retryAfterSeconds = Number(reply.headers["retry-after"]);
        return reply.statusCode === 200
            ? { status: 200, retryAfterSeconds }
            : {
                status: reply.statusCode,
                code: (JSON.parse(text) as { error: { code: string; }; }).error.code,
                retryAfterSeconds,
            };
    }
    catch {
        return { status: 0, retryAfterSeconds: 0 };
    }
}

const kinds: readonly (readonly [string, Partial<Route>])[] = [
    ["repeatable call", { kind: "repeatable", attempts: 2 }],
    ["call that runs once", { kind: "once", attempts: 1 }],
    ["stream without shared parts", { kind: "stream", canResume: true, attempts: 2 }],
];

describe("a request that crashes endpoints", () => {
    // Guards against one caller's repeats ending endpoint after endpoint, each time at another host.
    it.each(kinds)(
        "is refused on all hosts after a few crashes, and other requests are served: %s",
        async (_name, route) => {
            const { hosts, deadlyRuns } = await startFleet(route);
            const deadly: Promise<Reply>[] = [];
            const sound: Promise<Reply>[] = [];
            for (let index = 0; index < REPEATS; index += 1) {
                deadly.push(send(hosts[index % HOSTS]!, `d${index}`, DEADLY));
                await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
                sound.push(send(hosts[(index + 1) % HOSTS]!, `s${index}`, `${SOUND}/${index}`));
            }
            const replies = await Promise.all(deadly);
            expect(deadlyRuns.length).toBeLessThanOrEqual(MAX_DEADLY_RUNS);
            expect(replies.slice(-5).map(({ status, code }) => ({ status, code }))).toEqual(
                Array.from({ length: 5 }, () => ({ status: 503, code: "request_isolated" })),
            );
            // Longer than the callers' usual pause: a repeat cannot be served before the next trial.
            expect(Math.min(...replies.slice(-5).map(reply => reply.retryAfterSeconds))).toBeGreaterThan(5);
            expect((await Promise.all(sound)).slice(-5).map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
        },
    );
});
