import { requestJson } from "@currantrill/http";
import { connect, type Socket } from "node:net";
import { describe, expect, it } from "vitest";
import { serveService } from "../src/index.js";
import { postJson, readLedger, setFault, useStandin, waitUntil } from "./standinFixture.js";

const startService = () => useStandin(serveService({ answerDelayMs: 1 }));

function openConnection(url: string): Promise<Socket> {
    const socket = connect(Number(new URL(url).port), "127.0.0.1");
    // The connection is reset when the fault ends.
    socket.on("error", () => undefined);
    return new Promise(resolve => socket.once("connect", () => resolve(socket)));
}

const sendRaw = (socket: Socket): Promise<string> =>
    new Promise(resolve => {
        socket.once("data", data => resolve(data.toString()));
        socket.once("close", () => resolve("closed"));
        socket.write("GET /stock HTTP/1.1\r\nhost: a\r\n\r\n");
    });

describe("faults", () => {
    it("outage answers 503 without executing the call, for `count` requests", async () => {
        const url = await startService();
        await setFault(url, { kind: "outage", durationMs: 60_000, count: 2 });
        const statuses = [];
        for (let sent = 0; sent < 3; sent += 1) {
            statuses.push((await postJson(`${url}/dispatch`, {})).status);
        }
        expect(statuses).toEqual([503, 503, 200]);
        expect((await readLedger(url)).entries).toHaveLength(1);
    });

    it("loseAnswers executes the call and closes the connection without a response", async () => {
        const url = await startService();
        await setFault(url, { kind: "loseAnswers", durationMs: 60_000, count: 1, path: "/dispatch" });
        expect((await postJson(`${url}/stock`, {})).status).toBe(200);
        await expect(postJson(`${url}/dispatch`, {})).rejects.toThrow();
        expect((await readLedger(url)).entries).toHaveLength(2);
    });

    it("silent neither executes nor answers calls on open connections, while new connections work", async () => {
        const url = await startService();
        const socket = await openConnection(url);
        expect(await sendRaw(socket)).toContain("200 OK");
        await setFault(url, { kind: "silent", durationMs: 300 });
        const pending = sendRaw(socket);
        expect((await requestJson(`${url}/stock`)).status).toBe(200);
        expect(await pending).toBe("closed");
        expect((await readLedger(url)).entries).toHaveLength(2);
    });

    it("freeze delays all responses until its end, also that of a call in progress", async () => {
        const url = await useStandin(serveService({ answerDelayMs: 50 }));
        const before = performance.now();
        const started = postJson(`${url}/dispatch`, {});
        await waitUntil(async () => (await readLedger(url)).entries.length === 1);
        await setFault(url, { kind: "freeze", durationMs: 300 });
        const answers = await Promise.all([started, postJson(`${url}/dispatch`, {})]);
        expect(answers.map(answer => answer.status)).toEqual([200, 200]);
        expect(performance.now() - before).toBeGreaterThanOrEqual(290);
    });

    it("affects the same requests with the same seed, and ends when a fault with duration 0 is set", async () => {
        const url = await startService();
        const collectStatuses = async (): Promise<number[]> => {
            await setFault(url, { kind: "outage", durationMs: 60_000, probability: 0.5, seed: 7 });
            const statuses = [];
            for (let sent = 0; sent < 12; sent += 1) {
                statuses.push((await requestJson(`${url}/stock`)).status);
            }
            return statuses;
        };
        const first = await collectStatuses();
        expect(new Set(first)).toEqual(new Set([200, 503]));
        expect(await collectStatuses()).toEqual(first);
        await setFault(url, { kind: "outage", durationMs: 0 });
        expect((await requestJson(`${url}/stock`)).status).toBe(200);
    });
});
