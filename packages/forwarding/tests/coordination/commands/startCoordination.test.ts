/** A large fleet on loopback: 34 hosts in two failure domains. */
import { findFreePorts } from "@currantrill/standins";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import { engine } from "../../engineFixture.js";
import {
    beginStream,
    createRoute,
    createTestStore,
    type EndpointScript,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeChunk,
} from "../../hostFixture.js";

const HOSTS_PER_DOMAIN = 17;
const domains = ["a", "b"];

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const answer: EndpointScript = (received, socket) => {
    beginStream(socket, received);
    writeChunk(socket, formatEvent(1));
    endStream(socket);
};

interface Fleet {
    readonly hosts: readonly TestHost[];
    readonly endpoints: readonly TestEndpoint[];
}

async function startFleet(): Promise<Fleet> {
    const store = createTestStore();
    const [peerPort = 0] = await findFreePorts(1);
    const endpoints = await Promise.all(["e0", "e1", "e2", "e3"].map(id => startEndpoint(id, answer)));
    const seeds = ["127.0.0.11:1", "127.0.0.12:1"];
    const start = (index: number): Promise<TestHost> =>
        startTestHost([], [], {
            store,
            seeds,
            peerPort,
            graceMs: 100,
            ip: `127.0.0.${11 + index}`,
            failureDomain: domains[index % domains.length] ?? "",
        });
    store.put("configuration", "current", {
        version: 0,
        routes: [createRoute({ kind: "stream", canResume: true })],
        services: [{ name: "desk", engine: engine }],
        limits: { maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    });
    const hosts = await Promise.all(
        Array.from({ length: HOSTS_PER_DOMAIN * domains.length }, (_, index) => start(index)),
    );
    endpoints.forEach((endpoint, index) =>
        hosts[0]?.publish(endpoint, { failureDomain: domains[index % domains.length] as never })
    );
    closers.push(...hosts.map(host => () => host.host.drain()), ...endpoints.map(endpoint => endpoint.close));
    await waitUntil(() => hosts.every(host => host.host.context.directory.listAll().length === endpoints.length));
    return { hosts, endpoints };
}

async function readCounter(host: TestHost, name: string): Promise<number> {
    const metric = await host.host.context.metrics.registry.getSingleMetric(name)?.get();
    return (metric?.values ?? []).reduce((sum, each) => sum + each.value, 0);
}

const sumCounter = async (hosts: readonly TestHost[], name: string): Promise<number> =>
    (await Promise.all(hosts.map(host => readCounter(host, name)))).reduce((sum, value) => sum + value, 0);

async function send(host: TestHost): Promise<number> {
    const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q" } });
    await reply.body.dump();
    return reply.statusCode;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("a large fleet", () => {
    it("places prompts by its coordinators, and by itself while there is none", async () => {
        const { hosts, endpoints } = await startFleet();
        await sleep(1_500);
        expect(await Promise.all(hosts.map(send))).toEqual(hosts.map(() => 200));
        const placed = await sumCounter(hosts, "currantrill_placement_queries_total");
        expect(placed).toBeGreaterThanOrEqual(hosts.length - 4);
        // Each domain's prompts stay on its endpoints, evenly, since one host decides for all.
        const counts = endpoints.map(endpoint => endpoint.received.length);
        expect(counts.reduce((sum, count) => sum + count, 0)).toBe(hosts.length);
        // Assignments that a coordinator has granted disappear once the hosts have announced their end.
        await waitUntil(() =>
            hosts.every(host => host.host.context.assignmentRegistry.listAll(performance.now()).length === 0)
        );
        await Promise.all(hosts.slice(0, 4).map(host => host.host.drain()));
        expect(await Promise.all(hosts.slice(4).map(send))).toEqual(hosts.slice(4).map(() => 200));
    }, 20_000);
});
