import { afterEach, describe, expect, it } from "vitest";
import { reserveShardMemory } from "../../../src/reservations/commands/reserveShardMemory.js";
import {
    createRoute,
    type EndpointScript,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const grant: EndpointScript = (received, socket) => writeAnswer(socket, received, 200, "{}");
const refuse: EndpointScript = (received, socket) =>
    writeAnswer(socket, received, received.target === "/release" ? 200 : 409, "{}");
const ignore: EndpointScript = () => undefined;

async function startSystem(
    scripts: readonly EndpointScript[],
): Promise<{ host: TestHost; endpoints: TestEndpoint[]; }> {
    const endpoints = await Promise.all(scripts.map((script, index) => startEndpoint(`e${index}`, script)));
    const host = await startTestHost([createRoute()], endpoints, { graceMs: 200 });
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    return { host, endpoints };
}

const listNeeds = (host: TestHost) =>
    host.host.context.directory.listAll().map(endpoint => ({ endpoint, tokens: 1_000 }));
const listTargets = (endpoint: TestEndpoint | undefined): string[] =>
    (endpoint?.received ?? []).map(received => received.target);
const listIds = (endpoint: TestEndpoint | undefined): unknown[] =>
    (endpoint?.received ?? []).map(received => (JSON.parse(received.body) as { id: string; }).id);

describe("reserveShardMemory", () => {
    it("reserves all shards under distinct ids, renews them, and releases them once", async () => {
        const { host, endpoints } = await startSystem([grant, grant]);
        const held = await reserveShardMemory(host.host.context, listNeeds(host));
        expect(held?.reservations).toHaveLength(2);
        expect(new Set(held?.reservations.map(each => each.id)).size).toBe(2);
        await waitUntil(() => endpoints.every(endpoint => endpoint.received.length >= 2));
        held?.release();
        held?.release();
        await waitUntil(() => endpoints.every(endpoint => listTargets(endpoint).includes("/release")));
        for (const endpoint of endpoints) {
            expect(listTargets(endpoint).filter(target => target === "/release")).toHaveLength(1);
            expect(new Set(listIds(endpoint)).size).toBe(1);
        }
        const counts = endpoints.map(endpoint => endpoint.received.length);
        await new Promise(resolve => setTimeout(resolve, 800));
        expect(endpoints.map(endpoint => endpoint.received.length)).toEqual(counts);
    });
    // Guards against memory that stays reserved after only some of the reservations were granted.
    it("releases everything if one shard is refused", async () => {
        const { host, endpoints } = await startSystem([grant, refuse]);
        expect(await reserveShardMemory(host.host.context, listNeeds(host))).toBeUndefined();
        await waitUntil(() => endpoints.every(endpoint => listTargets(endpoint).includes("/release")));
    });
    // Guards against memory that stays reserved because an order is carried out after its release.
    it("repeats the release of an order without a reply", async () => {
        const { host, endpoints } = await startSystem([ignore]);
        expect(await reserveShardMemory(host.host.context, listNeeds(host))).toBeUndefined();
        await waitUntil(() => listTargets(endpoints[0]).filter(target => target === "/release").length >= 2);
    });
});
