/** Hosts on loopback whose local failure domain is evacuated. */
import type * as http from "@currantrill/http";
import { toFailureDomainId } from "@currantrill/protocol";
import { request } from "undici";
import { afterEach, describe, expect, it, vi } from "vitest";
import {
    createRoute,
    createTestStore,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
} from "../../hostFixture.js";

/** Path of the requests of hosts that fail. */
const blocked = vi.hoisted(() => ({ path: "" }));
vi.mock("@currantrill/http", async importOriginal => {
    const original = await importOriginal<typeof http>();
    const requestJson: typeof original.requestJson = (url, options) =>
        blocked.path !== "" && url.includes(blocked.path)
            ? Promise.reject(new Error("blocked"))
            : original.requestJson(url, options);
    return { ...original, requestJson };
});

const closers: (() => unknown)[] = [];
afterEach(async () => {
    blocked.path = "";
    await Promise.all(closers.splice(0).map(close => close()));
});

const REQUESTS = 20;

interface Fleet {
    /** Endpoints in the domains `a`, that of the host, and `b`. */
    readonly endpoints: readonly TestEndpoint[];
    readonly host: TestHost;
    /** Starts a host that is cut off from the store. */
    readonly startPeer: () => Promise<TestHost>;
}

async function startFleet(): Promise<Fleet> {
    const endpoints = await Promise.all(
        ["e0", "e1"].map(id => startEndpoint(id, (received, socket) => writeAnswer(socket, received, 200, "ok"))),
    );
    const host = await startTestHost([createRoute()], endpoints, { graceMs: 200 });
    host.publish(endpoints[1]!, { failureDomain: toFailureDomainId("b"), processStartedAtMs: 2 });
    await waitUntil(() => host.host.context.directory.get("e1")?.entry.failureDomain === "b");
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    const startPeer = async (): Promise<TestHost> => {
        const peer = await startTestHost([], [], {
            graceMs: 200,
            store: Object.assign(createTestStore(), { isDown: true }),
            ip: "127.0.0.2",
            peerPort: Number(host.listen.peers.split(":")[1]),
            seeds: ["127.0.0.1:1"],
        });
        closers.unshift(() => peer.host.drain());
        return peer;
    };
    return { endpoints, host, startPeer };
}

async function send({ url }: TestHost): Promise<{ status: number; code: string | undefined; }> {
    const response = await request(`${url}/r/x`, { headers: { "host": "desk.example", "t-id": "q" } });
    const text = await response.body.text();
    return { status: response.statusCode, code: /"code":"(\w+)"/.exec(text)?.[1] };
}

const isEvacuated = (host: TestHost, domain: string): boolean =>
    host.host.context.evacuations.isEvacuated(toFailureDomainId(domain));

const countReceived = ({ endpoints }: Fleet): number[] => endpoints.map(endpoint => endpoint.received.length);

async function readMetrics({ host }: TestHost): Promise<string> {
    return await host.context.metrics.registry.metrics();
}

describe("an evacuated failure domain", () => {
    // Guards against requests that reach it, and against a domain that gets none after its return.
    it("gets nothing until it returns, also from a host that is cut off from the store", async () => {
        const fleet = await startFleet();
        const { host } = fleet;
        host.store.put("configuration", "evacuate/a", {});
        const peer = await fleet.startPeer();
        await waitUntil(() => isEvacuated(host, "a") && isEvacuated(peer, "a"));
        await waitUntil(() => peer.host.context.directory.listAll().length === 2);
        const statuses: number[] = [];
        for (let index = 0; index < REQUESTS; index += 1) {
            statuses.push((await send(index % 2 === 0 ? host : peer)).status);
        }
        expect(statuses).toEqual(statuses.map(() => 200));
        expect(countReceived(fleet)).toEqual([0, REQUESTS]);
        const metrics = await readMetrics(host);
        expect(metrics).toContain("currantrill_evacuated_domains 1");
        expect(metrics).toContain(`currantrill_evacuation_requests_total{outcome="moved"} ${REQUESTS / 2}`);
        host.store.drop("configuration", "evacuate/a");
        await waitUntil(() => !isEvacuated(host, "a"));
        await send(host);
        expect(countReceived(fleet)).toEqual([1, REQUESTS]);
    });
    // Guards against a refusal that is late or untrue when the last domain is evacuated.
    it("that is the last one: requests are refused and have not run", async () => {
        const fleet = await startFleet();
        ["a", "b"].forEach(domain => fleet.host.store.put("configuration", `evacuate/${domain}`, {}));
        await waitUntil(() => isEvacuated(fleet.host, "a") && isEvacuated(fleet.host, "b"));
        expect(await send(fleet.host)).toEqual({ status: 503, code: "evacuated" });
        expect(countReceived(fleet)).toEqual([0, 0]);
    });
    // Guards against a host that serves by a peer's copy of the active configuration, which says nothing of evacuations.
    it("is known to a host before it serves its first request", async () => {
        const { host, startPeer } = await startFleet();
        host.store.put("configuration", "evacuate/a", {});
        await waitUntil(() => isEvacuated(host, "a"));
        blocked.path = "/tables/configuration";
        const peer = await startPeer();
        await waitUntil(() => peer.logged.some(line => line["msg"] === "configuration: activated"));
        expect(await send(peer)).toEqual({ status: 503, code: "no_configuration" });
        blocked.path = "";
        await waitUntil(() => peer.host.context.getConfiguration() !== undefined);
        expect(isEvacuated(peer, "a")).toBe(true);
    });
});
