import { requestJson } from "@currantrill/http";
import { describe, expect, it } from "vitest";
import { servePlatform, serveWeightStore } from "../../src/index.js";
import { postJson, setFault, useStandin, waitUntil } from "../standinFixture.js";

const write = (url: string, version: number, value: unknown, attemptId = "a1") =>
    postJson(`${url}/v1/transactions`, {
        attemptId,
        conditions: [{ table: "config", key: "head", version }],
        writes: [{ table: "config", key: "head", value }],
    });

describe("platform", () => {
    it("commits a transaction only if every row has the required version, also after a delete", async () => {
        const url = await useStandin(servePlatform());
        expect((await write(url, 0, 1)).body).toEqual({ committed: true, versions: { "config/head": 1 } });
        expect((await write(url, 0, 2)).body).toEqual({
            committed: false,
            conflicts: [{ table: "config", key: "head", version: 1 }],
        });
        expect((await write(url, 1, null)).status).toBe(200);
        expect((await write(url, 0, 3)).body).toEqual({ committed: true, versions: { "config/head": 3 } });
    });

    it("limits writes and reads separately", async () => {
        const url = await useStandin(servePlatform({ writesPerSecond: 1, readsPerSecond: 1_000 }));
        expect((await write(url, 0, 1)).status).toBe(200);
        expect((await write(url, 1, 2)).status).toBe(429);
        expect((await requestJson(`${url}/v1/tables/config/rows/head`)).status).toBe(200);
    });

    it("executes a write whose response is lost", async () => {
        const url = await useStandin(servePlatform());
        await setFault(url, { kind: "loseAnswers", durationMs: 60_000, count: 1 });
        await expect(write(url, 0, 1)).rejects.toThrow();
        expect((await requestJson(`${url}/v1/tables/config/rows/head`)).body).toMatchObject({ version: 1 });
    });

    it("lists a host after the lag, and removes it when its peer port refuses connections", async () => {
        const url = await useStandin(servePlatform({ hostListLagMs: 50 }));
        const listHosts = async () => ((await requestJson(`${url}/v1/hosts`)).body as { hosts: unknown[]; }).hosts;
        const host = { id: "h1", failureDomain: "a", peerAddress: "127.0.0.1:1", incarnation: "i1", state: "live" };
        await requestJson(`${url}/v1/hosts/h1`, { method: "PUT", body: host });
        expect(await listHosts()).toEqual([]);
        await waitUntil(async () => (await listHosts()).length === 1);
        await waitUntil(async () => (await listHosts()).length === 0);
    });
});

describe("weight store", () => {
    it("refuses fetches above its rate", async () => {
        const url = await useStandin(serveWeightStore({ fetchesPerSecond: 1, fetchMs: 1 }));
        const fetch = () => requestJson(`${url}/v1/weights/pond/1`);
        expect([(await fetch()).status, (await fetch()).status]).toEqual([200, 429]);
    });
});
