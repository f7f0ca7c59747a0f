import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import {
    createRoute,
    createTestStore,
    startEndpoint,
    startTestHost,
    type TestHost,
    waitUntil,
    writeAnswer,
} from "../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function startHost(...args: Parameters<typeof startTestHost>): Promise<TestHost> {
    const host = await startTestHost(...args);
    closers.push(() => host.host.drain());
    return host;
}

/** Starts two hosts that know each other, before an endpoint whose calls take `workMs`. */
async function startPair({ workMs, graceMs }: { workMs: number; graceMs: number; }): Promise<[TestHost, TestHost]> {
    const endpoint = await startEndpoint(
        "e0",
        (received, socket) => void setTimeout(() => writeAnswer(socket, received, 200, "late"), workMs),
    );
    closers.push(endpoint.close);
    const first = await startHost([createRoute({ kind: "once" })], [endpoint], { graceMs });
    const second = await startHost([], [endpoint], {
        store: first.store,
        graceMs: 200,
        ip: "127.0.0.2",
        peerPort: Number(first.listen.peers.split(":")[1]),
        seeds: ["127.0.0.1:1"],
    });
    return [first, second];
}

async function getStatus(url: string): Promise<number> {
    const reply = await request(url, { headers: { "host": "desk.example", "t-id": "q" } });
    await reply.body.dump();
    return reply.statusCode;
}

describe("a host", () => {
    // Guards against a host that serves requests, or refuses them with a permanent error, before it has a
    // configuration.
    it("is not ready and responds with status 503 until it has a configuration", async () => {
        const store = createTestStore();
        store.isDown = true;
        const host = await startHost([], [], { store, graceMs: 200 });
        expect(await getStatus(`http://${host.listen.readiness}/ready`)).toBe(503);
        expect(await getStatus(`${host.url}/r/x`)).toBe(503);
    });
    // Guards against a removed key that stays valid on a host that cannot reach the store.
    it("fetches tables from a peer while the store is unavailable", async () => {
        const first = await startHost([createRoute()], [], { graceMs: 200 });
        const unavailableStore = createTestStore();
        unavailableStore.isDown = true;
        const second = await startHost([], [], {
            store: unavailableStore,
            graceMs: 200,
            ip: "127.0.0.2",
            peerPort: Number(first.listen.peers.split(":")[1]),
            seeds: ["127.0.0.1:1"],
        });
        await waitUntil(() => second.host.context.getConfiguration()?.configuration.version === 1);
        first.configure({ routes: [createRoute({ prefix: "/new/" })] });
        await waitUntil(() => second.host.context.getConfiguration()?.configuration.version === 2);
        expect(await getStatus(`http://${second.listen.readiness}/ready`)).toBe(200);
        expect(await getStatus(`${second.url}/r/x`)).toBe(404);
    });
    it("announces its assignments to its peers", async () => {
        const [first, second] = await startPair({ workMs: 700, graceMs: 200 });
        await waitUntil(() => first.logged.some(entry => entry["msg"] === "peers: peer is alive"));
        const status = getStatus(`${first.url}/r/x`);
        await waitUntil(() => second.host.context.assignmentRegistry.groupByEndpoint(performance.now()).has("e0"));
        expect(await status).toBe(200);
        await waitUntil(() => !second.host.context.assignmentRegistry.groupByEndpoint(performance.now()).has("e0"));
    });
    // Guards against endpoints that are overrun during a shutdown, or left idle after it: peers count the work of the host
    // until it has ended, and no longer.
    it("announces its work during the shutdown, and its end", async () => {
        const [first, second] = await startPair({ workMs: 1_000, graceMs: 3_000 });
        const isCounted = (): boolean =>
            second.host.context.assignmentRegistry.groupByEndpoint(performance.now()).has("e0");
        await waitUntil(() => first.logged.some(entry => entry["msg"] === "peers: peer is alive"));
        const status = getStatus(`${first.url}/r/x`);
        await waitUntil(isCounted);
        const drained = first.host.drain();
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(isCounted()).toBe(true);
        expect(await status).toBe(200);
        await drained;
        const drainedAtMs = performance.now();
        await waitUntil(() => !isCounted());
        // The time after which the work of a silent host is ignored.
        expect(performance.now() - drainedAtMs).toBeLessThan(3_000);
    });
    // Guards against a request that is held beyond its time limit because it waits for something other than an endpoint.
    it.each(["admit", "acquire"] as const)("answers a stream that waits when its time limit ends: %s", async wait => {
        const endpoint = await startEndpoint("e0", () => undefined);
        closers.push(endpoint.close);
        const route = createRoute({ kind: "stream", timeoutMs: 300 });
        const host = await startTestHost([route], [endpoint], { graceMs: 200 });
        closers.push(() => host.host.drain());
        const { quarantine, permits } = host.host.context;
        Object.assign(wait === "admit" ? quarantine : permits, { [wait]: () => new Promise(() => undefined) });
        expect(await getStatus(`${host.url}/r/x`)).toBe(504);
        expect(endpoint.received).toEqual([]);
    });
    // Guards against a time limit that begins anew because the process was paused when it ended.
    it("answers a stream that waits at once if its time limit has ended during a pause", async () => {
        const endpoint = await startEndpoint("e0", () => undefined);
        closers.push(endpoint.close);
        const route = createRoute({ kind: "stream", timeoutMs: 600 });
        const host = await startTestHost([route], [endpoint], { graceMs: 200 });
        closers.push(() => host.host.drain());
        Object.assign(host.host.context.quarantine, { admit: () => new Promise(() => undefined) });
        const status = getStatus(`${host.url}/r/x`);
        await waitUntil(() => host.host.context.exchanges.size === 1);
        const unblockedAtMs = performance.now() + 800;
        while (performance.now() < unblockedAtMs) {
            // The host handles no event.
        }
        const beginsAnew = new Promise(resolve => setTimeout(resolve, 500, "not answered"));
        expect(await Promise.race([status, beginsAnew])).toBe(504);
    });
    it("serves its metrics", async () => {
        const host = await startHost([createRoute()], [], { graceMs: 200 });
        await getStatus(`${host.url}/r/x`);
        const reply = await request(`http://${host.listen.metrics}/metrics`);
        expect(await reply.body.text()).toContain(
            "currantrill_forwarded_requests_total{kind=\"repeatable\",outcome=\"no_endpoint\"} 1",
        );
    });
});
