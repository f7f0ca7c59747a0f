import { requestJson } from "@currantrill/http";
import { describe, expect, it } from "vitest";
import { type EngineStandinOptions, serveEngine, serveWeightStore } from "../../src/index.js";
import { generate, postJson, readLedger, setFault, useStandin, waitUntil } from "../standinFixture.js";

const models = [{ name: "pond", version: "1" }];
const startEngine = (options: Partial<EngineStandinOptions> = {}): Promise<string> =>
    useStandin(
        serveEngine({ endpointId: "e1", models, decodeTokensPerSecond: 1_000, memoryTokens: 10_000, ...options }),
    );
const token = (index: number): string => JSON.stringify({ index, text: `0001.${index} `, request_id: "request-0001" });
const allocate = (url: string, id: string, tokens: number, ttlMs = 5_000) =>
    postJson(`${url}/v1/allocations`, {
        allocation_id: id,
        request_id: "request-0001",
        owner: "i1",
        tokens,
        ttl_ms: ttlMs,
    });

describe("generate", () => {
    it.each([
        { name: "complete answer", fields: {}, events: [token(0), token(1), token(2), "[DONE]"] },
        { name: "resumed answer", fields: { resume_from: 2 }, events: [token(2), "[DONE]"] },
        { name: "unknown model", fields: { model: "lake" }, events: ["status 404"] },
        { name: "prompt beyond the memory", fields: { prompt_tokens: 10_000 }, events: ["status 413"] },
        { name: "allocation that is not held", fields: { allocation_id: "i1.1.1" }, events: ["status 409"] },
    ])("answers: $name", async ({ fields, events }) => {
        expect(await generate(await startEngine(), fields)).toEqual(events);
    });

    it("finishes a prompt before a long one of lower priority that arrived first", async () => {
        const url = await startEngine({ memoryTokens: 200_000, prefillTokensPerSecond: 200_000, stepTokens: 1_000 });
        const order: string[] = [];
        const send = async (name: string, fields: Record<string, unknown>): Promise<void> => {
            await generate(url, { attempt_id: name, request_id: name, ...fields });
            order.push(name);
        };
        const long = send("long-0001", { prompt_tokens: 100_000, priority: 0 });
        await waitUntil(async () => (await readLedger(url)).entries.length > 0);
        await Promise.all([long, send("short-0002", { prompt_tokens: 1_000, priority: 1 })]);
        expect(order).toEqual(["short-0002", "long-0001"]);
    });

    it("ends a cancelled prompt without a terminator, and refuses a prompt whose cancellation arrived first", async () => {
        const url = await startEngine({ decodeTokensPerSecond: 10 });
        const answer = generate(url, { max_tokens: 1_000 });
        await waitUntil(async () => (await readLedger(url)).entries.length > 0);
        await postJson(`${url}/v1/cancel`, { attempt_id: "attempt-1" });
        expect(await answer).not.toContain("[DONE]");
        await postJson(`${url}/v1/cancel`, { attempt_id: "attempt-2" });
        expect(await generate(url, { attempt_id: "attempt-2" })).toEqual(["status 409"]);
    });

    it("fails the request of a gang when a member releases its allocation", async () => {
        const [lead, member] = [await startEngine({ memberCheckMs: 20 }), await startEngine()];
        await allocate(lead, "i1.1.1", 9_000);
        await allocate(member, "i1.1.2", 9_000);
        const gang = { allocation_id: "i1.1.1", members: [{ url: member, allocation_id: "i1.1.2" }] };
        expect(await generate(lead, { prompt_tokens: 15_000, ...gang })).toContain("[DONE]");
        const failedAnswer = generate(lead, { prompt_tokens: 15_000, max_tokens: 2_000, ...gang });
        await waitUntil(async () => (await readLedger(lead)).entries.length > 2);
        await requestJson(`${member}/v1/allocations/i1.1.2`, { method: "DELETE" });
        expect(await failedAnswer).not.toContain("[DONE]");
        expect(await generate(lead, { prompt_tokens: 15_000, ...gang })).toEqual(["status 409"]);
    });
});

describe("memory", () => {
    it("refuses an allocation that does not fit, and treats repeated and late messages idempotently", async () => {
        const url = await startEngine();
        expect((await allocate(url, "i1.1.1", 8_000)).status).toBe(201);
        expect((await allocate(url, "i1.1.1", 8_000)).status).toBe(200);
        expect((await allocate(url, "i1.1.2", 8_000)).status).toBe(409);
        const release = () => requestJson(`${url}/v1/allocations/i1.1.1`, { method: "DELETE" });
        expect((await release()).body).toEqual({ released: true });
        expect((await release()).body).toEqual({ released: false });
        expect((await allocate(url, "i1.1.1", 8_000)).status).toBe(410);
        expect((await readLedger(url)).held).toEqual([]);
    });

    it("expires an allocation that is not renewed", async () => {
        const url = await startEngine();
        await allocate(url, "i1.1.1", 100, 200);
        await allocate(url, "i1.1.2", 100, 200);
        await postJson(`${url}/v1/allocations/i1.1.1/renew`, { ttl_ms: 60_000 });
        await waitUntil(async () => (await readLedger(url)).held.length < 2);
        expect((await readLedger(url)).held.map(held => held.allocationId)).toEqual(["i1.1.1"]);
    });

    it("publishes stored and evicted prefixes after the delay", async () => {
        const url = await startEngine({ memoryTokens: 4_000, cacheEventLossFraction: 0 });
        await generate(url, { prompt_tokens: 3_000, prefix_hashes: ["p1", "p2"] });
        await allocate(url, "i1.1.1", 3_500);
        const read = async () =>
            (await requestJson(`${url}/v1/cache/events?after=1`)).body as { events: { action: string; }[]; };
        expect((await read()).events).toEqual([]);
        await waitUntil(async () => (await read()).events.length === 3);
        expect((await read()).events.map(event => event.action)).toEqual(["stored", "evicted", "evicted"]);
    });
});

describe("orders", () => {
    it.each([{ checksFencing: true, status: 409 }, { checksFencing: false, status: 202 }])(
        "answers an old fencing token with $status if checksFencing is $checksFencing",
        async ({ checksFencing, status }) => {
            const url = await startEngine({ checksFencing });
            await postJson(`${url}/v1/orders`, { fence: 7, action: "set_role", role: "prefill" });
            const late = await postJson(`${url}/v1/orders`, { fence: 6, action: "set_role", role: "decode" });
            expect(late.status).toBe(status);
        },
    );

    it("fetches a model from the weight store, and reports it when it is loaded", async () => {
        const store = await useStandin(serveWeightStore({ fetchMs: 5 }));
        const url = await startEngine({ weightStoreUrl: store, loadMs: 5, reportIntervalMs: 10 });
        await postJson(`${url}/v1/orders`, { fence: 1, action: "load_model", model: "lake", version: "2" });
        await waitUntil(async () => {
            const report = (await requestJson(`${url}/v1/report`)).body as { models: unknown[]; };
            return report.models.length === 2;
        });
        expect((await readLedger(store)).entries.map(entry => entry.action)).toEqual(["fetch lake@2"]);
    });

    it("reports the lending state that the owner sets", async () => {
        const url = await startEngine({ reportIntervalMs: 10 });
        await requestJson(`${url}/owner/lending`, { method: "PUT", body: { lending: "withdrawn" } });
        await waitUntil(async () =>
            ((await requestJson(`${url}/v1/report`)).body as { lending: string; }).lending === "withdrawn"
        );
    });
});

describe("freeze", () => {
    it("pauses running streams and resumes them afterwards", async () => {
        const url = await startEngine({ decodeTokensPerSecond: 100 });
        const answer = generate(url, { max_tokens: 10 });
        await waitUntil(async () => (await readLedger(url)).entries.length > 0);
        await setFault(url, { kind: "freeze", durationMs: 300 });
        const before = performance.now();
        expect(await answer).toContain("[DONE]");
        expect(performance.now() - before).toBeGreaterThan(200);
    });
});
