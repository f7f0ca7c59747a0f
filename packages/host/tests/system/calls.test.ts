import { requestJson } from "@currantrill/http";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { afterEach, describe, expect, it, vi } from "vitest";
import {
    callerHeaders,
    readLedger,
    setFault,
    startTestSystem,
    type TestHost,
    type TestSystem,
} from "./startTestSystem.js";

const sendDispatch = (host: TestHost, key: string | undefined, body: unknown = { crate: 1 }, timeoutMs = 10_000) =>
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

describe("non-idempotent calls guard against a second execution", () => {
    let system: TestSystem;
    afterEach(() => system.stop());
    const countExecutions = async (): Promise<number> => {
        const ledgers = await Promise.all(system.services.map(readLedger));
        return ledgers.flatMap(ledger => ledger.entries).filter(entry => entry.action.startsWith("POST")).length;
    };

    it("executes a call once when two hosts receive it at the same time, and replays the response", async () => {
        system = await startTestSystem({ hosts: 2 });
        const answers = await Promise.all(system.hosts.map(host => sendDispatch(host, "key-1")));
        const later = await sendDispatch(system.hosts[0]!, "key-1");
        expect([...answers, later].map(answer => answer.status)).toEqual([200, 200, 200]);
        expect(new Set([...answers, later].map(answer => JSON.stringify(answer.body))).size).toBe(1);
        expect(await countExecutions()).toBe(1);
        const reused = await sendDispatch(system.hosts[0]!, "key-1", { crate: 2 });
        expect(reused.status).toBe(422);
        expect(reused.body).toMatchObject({ error: { code: "idempotency_key_reused", outcome: "not_run" } });
        expect(await countExecutions()).toBe(1);
    });

    it("executes a call once when the store's response to the reservation is lost", async () => {
        system = await startTestSystem();
        await setFault(system.platform, {
            kind: "loseAnswers",
            durationMs: 60_000,
            count: 1,
            path: "/v1/transactions",
        });
        const answer = await sendDispatch(system.hosts[0]!, "key-1");
        expect(answer.status).toBe(200);
        expect(await countExecutions()).toBe(1);
    });

    it("refuses a call without a key or during a store outage, and still serves prompts", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        const withoutKey = await sendDispatch(host!, undefined);
        expect(withoutKey.status).toBe(400);
        expect(withoutKey.body).toMatchObject({ error: { field: "Idempotency-Key", outcome: "not_run" } });
        await setFault(system.platform, { kind: "outage", durationMs: 60_000 });
        const refused = await sendDispatch(host!, "key-1");
        expect(refused.status).toBe(503);
        expect(refused.headers["x-outcome"]).toBe("not_run");
        expect(refused.body).toMatchObject({ error: { code: "store_unavailable" } });
        expect(await countExecutions()).toBe(0);
        const prompt = await requestJson(`${host!.url}/v1/completions`, {
            method: "POST",
            headers: callerHeaders,
            body: { model: "model", prompt: "x", max_tokens: 2 },
        });
        expect(prompt.status).toBe(200);
    });

    it("reports an unknown outcome when the service's response is lost, and never repeats the call", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        await setFault(system.services[0]!, { kind: "loseAnswers", durationMs: 60_000, count: 1 });
        const first = await sendDispatch(host!, "key-1");
        expect(first.body).toMatchObject({ error: { code: "connection_lost", outcome: "outcome_unknown" } });
        const second = await sendDispatch(host!, "key-1", undefined, 1_000);
        expect(second.body).toMatchObject({ error: { outcome: "outcome_unknown" } });
        expect(await countExecutions()).toBe(1);
    });

    it("reports that a call was not run when no service endpoint is reachable", async () => {
        system = await startTestSystem();
        await system.services[0]!.close();
        const answer = await sendDispatch(system.hosts[0]!, "key-1");
        expect(answer.body).toMatchObject({ error: { code: "endpoint_unreachable", outcome: "not_run" } });
    });

    it("stores a large response in the object store and replays it on another host", async () => {
        system = await startTestSystem({ hosts: 2 });
        const body = { text: "x".repeat(100_000) };
        const first = await sendDispatch(system.hosts[0]!, "key-1", body);
        const second = await sendDispatch(system.hosts[1]!, "key-1", body);
        expect(second.body).toEqual(first.body);
        expect(JSON.stringify(first.body).length).toBeGreaterThan(100_000);
        expect(await countExecutions()).toBe(1);
    });

    it("finishes a call whose caller has disconnected before the host stops", async () => {
        system = await startTestSystem();
        const [host] = system.hosts;
        await setFault(system.services[0]!, { kind: "slow", durationMs: 60_000, delayMs: 500 });
        const abandoned = requestJson(`${host!.url}/services/orders/dispatch`, {
            method: "POST",
            headers: { ...callerHeaders, "idempotency-key": "key-1" },
            body: {},
            timeoutMs: 200,
        });
        await expect(abandoned).rejects.toThrow();
        await host!.running.drain();
        const rows = await host!.running.context.tables.listRows("calls", "", 10);
        expect(rows.map(entry => (entry.value as { state: string; }).state)).toEqual(["finished"]);
        expect(await countExecutions()).toBe(1);
    });
});

describe("idempotent calls guard against altered requests and failed endpoints", () => {
    let system: TestSystem;
    afterEach(() => system.stop());

    it("forwards method, path, query and body unchanged and retries on another endpoint", async () => {
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

    it("closes an unresponsive connection and retries the call over a new one", async () => {
        system = await startTestSystem({ settings: { progress: { service_ms: 200 } } });
        const [host] = system.hosts;
        const requestStock = () =>
            requestJson(`${host!.url}/services/orders/stock`, { headers: callerHeaders, timeoutMs: 10_000 });
        expect((await requestStock()).status).toBe(200);
        await setFault(system.services[0]!, { kind: "silent", durationMs: 60_000 });
        expect((await requestStock()).status).toBe(200);
        await vi.waitUntil(() => host!.running.context.inFlight.size === 0);
    });

    it("ends an attempt in time whose timeout could be collected as garbage", async () => {
        system = await startTestSystem({ settings: { progress: { service_ms: 200 } } });
        const [host] = system.hosts;
        const requestStock = () =>
            requestJson(`${host!.url}/services/orders/stock`, { headers: callerHeaders, timeoutMs: 2_000 });
        expect((await requestStock()).status).toBe(200);
        await setFault(system.services[0]!, { kind: "silent", durationMs: 60_000 });
        const response = requestStock();
        // The attempt waits for the silent connection.
        const collecting = setInterval(collectGarbage, 20);
        expect((await response.finally(() => clearInterval(collecting))).status).toBe(200);
    });
});

function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}
