import { requestJson } from "@currantrill/http";
import { afterEach, describe, expect, it, vi } from "vitest";
import {
    callerHeaders,
    readLedger,
    setFault,
    startTestSystem,
    type TestHost,
    type TestSystem,
} from "./startTestSystem.js";

const dispatch = (host: TestHost, key: string | undefined, body: unknown = { crate: 1 }, timeoutMs = 10_000) =>
    requestJson(`${host.url}/services/orders/dispatch`, {
        method: "POST",
        headers: {
            ...callerHeaders,
            "x-request-timeout-ms": String(timeoutMs),
            ...(key === undefined ? {} : { "idempotency-key": key }),
        },
        body,
        timeoutMs: 30_000,
    });

describe("calls that must not run twice guard against a second run", () => {
    let system: TestSystem;
    afterEach(() => system.stop());
    const countRuns = async (): Promise<number> => {
        const ledgers = await Promise.all(system.services.map(readLedger));
        return ledgers.flatMap(ledger => ledger.entries).filter(entry => entry.action.startsWith("POST")).length;
    };

    it("runs a dispatch once when it is sent to two hosts at once, and replays the answer", async () => {
        system = await startTestSystem({ hosts: 2 });
        const answers = await Promise.all(system.hosts.map(host => dispatch(host, "key-1")));
        const later = await dispatch(system.hosts[0]!, "key-1");
        expect([...answers, later].map(answer => answer.status)).toEqual([200, 200, 200]);
        expect(new Set([...answers, later].map(answer => JSON.stringify(answer.body))).size).toBe(1);
        expect(await countRuns()).toBe(1);
        const reused = await dispatch(system.hosts[0]!, "key-1", { crate: 2 });
        expect(reused.status).toBe(422);
        expect(reused.body).toMatchObject({ error: { code: "idempotency_key_reused", outcome: "not_run" } });
        expect(await countRuns()).toBe(1);
    });

    it("runs a dispatch once when the answer of the store to the reservation is lost", async () => {
        system = await startTestSystem();
        await setFault(system.platform, {
            kind: "loseAnswers",
            durationMs: 60_000,
            count: 1,
            path: "/v1/transactions",
        });
        const answer = await dispatch(system.hosts[0]!, "key-1");
        expect(answer.status).toBe(200);
        expect(await countRuns()).toBe(1);
    });

    it("refuses a dispatch without a key, and while the store is out, and serves prompts meanwhile", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        const withoutKey = await dispatch(host!, undefined);
        expect(withoutKey.status).toBe(400);
        expect(withoutKey.body).toMatchObject({ error: { field: "Idempotency-Key", outcome: "not_run" } });
        await setFault(system.platform, { kind: "outage", durationMs: 60_000 });
        const refused = await dispatch(host!, "key-1");
        expect(refused.status).toBe(503);
        expect(refused.headers["x-outcome"]).toBe("not_run");
        expect(refused.body).toMatchObject({ error: { code: "store_unavailable" } });
        expect(await countRuns()).toBe(0);
        const prompt = await requestJson(`${host!.url}/v1/completions`, {
            method: "POST",
            headers: callerHeaders,
            body: { model: "model", prompt: "x", max_tokens: 2 },
        });
        expect(prompt.status).toBe(200);
    });

    it("tells that the outcome is unknown when the service's answer is lost, and never runs the call again", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        await setFault(system.services[0]!, { kind: "loseAnswers", durationMs: 60_000, count: 1 });
        const first = await dispatch(host!, "key-1");
        expect(first.body).toMatchObject({ error: { code: "connection_lost", outcome: "outcome_unknown" } });
        const second = await dispatch(host!, "key-1", undefined, 1_000);
        expect(second.body).toMatchObject({ error: { outcome: "outcome_unknown" } });
        expect(await countRuns()).toBe(1);
    });

    it("tells that a call was not run when no service endpoint can be reached", async () => {
        system = await startTestSystem();
        await system.services[0]!.close();
        const answer = await dispatch(system.hosts[0]!, "key-1");
        expect(answer.body).toMatchObject({ error: { code: "endpoint_unreachable", outcome: "not_run" } });
    });

    it("keeps a large answer in the object store and replays it on another host", async () => {
        system = await startTestSystem({ hosts: 2 });
        const body = { text: "x".repeat(100_000) };
        const first = await dispatch(system.hosts[0]!, "key-1", body);
        const second = await dispatch(system.hosts[1]!, "key-1", body);
        expect(second.body).toEqual(first.body);
        expect(JSON.stringify(first.body).length).toBeGreaterThan(100_000);
        expect(await countRuns()).toBe(1);
    });

    it("finishes a call whose caller has left before the host stops", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        await setFault(system.services[0]!, { kind: "slow", durationMs: 60_000, delayMs: 500 });
        const left = requestJson(`${host!.url}/services/orders/dispatch`, {
            method: "POST",
            headers: { ...callerHeaders, "idempotency-key": "key-1" },
            body: {},
            timeoutMs: 200,
        });
        await expect(left).rejects.toThrow();
        await host!.running.drain();
        const row = await host!.running.context.tables.listRows("calls", "", 10);
        expect(row.map(entry => (entry.value as { state: string; }).state)).toEqual(["finished"]);
        expect(await countRuns()).toBe(1);
    });
});

describe("calls that may run twice guard against a change on the way", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    it("passes method, path, query and body on and tries another endpoint", async () => {
        system = await startTestSystem({ services: 2 });
        const [host] = system.hosts;
        await system.services[0]!.close();
        for (let index = 0; index < 4; index += 1) {
            const answer = await requestJson(`${host!.url}/services/orders/stock/a%20b?sku=1&sku=2`, {
                method: "PUT",
                headers: callerHeaders,
                body: { count: index },
            });
            expect(answer.status).toBe(200);
            expect(answer.body).toMatchObject({ path: "/stock/a%20b", echo: { count: index } });
        }
        const ledger = await readLedger(system.services[1]!);
        expect(ledger.entries.map(entry => entry.action)).toEqual(Array.from({ length: 4 }, () => "PUT /stock/a%20b"));
    });

    it("drops a silent connection and repeats the call over a new one", async () => {
        system = await startTestSystem({ settings: { progress: { service_ms: 200 } } });
        const [host] = system.hosts;
        const read = () =>
            requestJson(`${host!.url}/services/orders/stock`, { headers: callerHeaders, timeoutMs: 10_000 });
        expect((await read()).status).toBe(200);
        await setFault(system.services[0]!, { kind: "silent", durationMs: 60_000 });
        expect((await read()).status).toBe(200);
        await vi.waitUntil(() => host!.running.context.inFlight.size === 0);
    });
});
