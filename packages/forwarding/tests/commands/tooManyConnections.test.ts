import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { computeConnectionLimits } from "../../src/queries/computeConnectionLimits.js";
import { createRoute, startEndpoint, startTestHost, type TestHost, waitUntil, writeAnswer } from "../hostFixture.js";

const FILE_DESCRIPTORS = 300;
const CALLERS = computeConnectionLimits(FILE_DESCRIPTORS).callers;
/** Descriptors that DEPLOY.md keeps for files, at the number that a host of the deployment has. */
const DEPLOYED_DESCRIPTORS = 4_200;
const DEPLOYED_FOR_FILES = 200;
const EXCESS_FRACTION = 0.05;

const cleanups: (() => unknown)[] = [];
afterEach(() => Promise.all(cleanups.splice(0).reverse().map(cleanUp => cleanUp())));

interface Caller {
    readonly socket: Socket;
    received: string;
}

function openCaller(host: TestHost, id: string): Caller {
    const [ip = "", port = "0"] = host.listen.callers.split(":");
    const socket = connect(Number(port), ip);
    const caller: Caller = { socket, received: "" };
    socket.on("error", () => undefined);
    socket.on("data", chunk => void (caller.received += chunk.toString()));
    socket.write(`GET /r/x HTTP/1.1\r\nHost: desk.example\r\nt-id: ${id}\r\n\r\n`);
    cleanups.push(() => socket.destroy());
    return caller;
}

describe("a host with more callers than its file descriptors allow", () => {
    // Guards against a host whose callers take all file descriptors: it reached no endpoint, refused every request, and
    // did not answer readiness.
    it("serves as many as it can, refuses the others as not run, and stays ready", async () => {
        let release = (): void => undefined;
        const released = new Promise<void>(resolve => {
            release = resolve;
        });
        let runs = 0;
        const endpoint = await startEndpoint("e1", (request, socket) => {
            runs += 1;
            void released.then(() => writeAnswer(socket, request, 200, "done"));
        });
        cleanups.push(() => endpoint.close());
        const host = await startTestHost([createRoute({ targetMs: 60_000, timeoutMs: 60_000 })], [endpoint], {
            fileDescriptors: FILE_DESCRIPTORS,
        });
        cleanups.push(() => host.host.drain());
        const callers = Array.from({ length: CALLERS }, (_, index) => openCaller(host, `c${index}`));
        await waitUntil(() => runs === CALLERS);
        const refused = openCaller(host, "refused");
        await waitUntil(() => refused.received.includes("\r\n\r\n"));
        expect(refused.received).toMatch(/^HTTP\/1\.1 503 [^]*connection: close[^]*"too_many_connections"/i);
        expect(refused.received).toMatch(/retry-after/i);
        expect((await fetch(`http://${host.listen.readiness}/ready`)).status).toBe(200);
        release();
        await waitUntil(() => callers.every(caller => caller.received.includes("done")));
        expect(runs).toBe(CALLERS);
        // The connections are idle now, so that one of them makes room.
        const next = openCaller(host, "next");
        await waitUntil(() => next.received.includes("done"));
        expect(host.logged.filter(line => line["msg"] === "host: too many connections")).toMatchObject([
            { name: "callers", event: "refused", maxConnections: CALLERS, count: 1 },
        ]);
    });

    // Guards against limits whose sum leaves nothing for second attempts, probes, and the store.
    it("leaves a tenth of the descriptors if every caller has a request at an endpoint", () => {
        const { callers, ...others } = computeConnectionLimits(DEPLOYED_DESCRIPTORS);
        const accepted = Object.values(others).reduce((sum, limit) => sum + limit, callers) * (1 + EXCESS_FRACTION);
        const left = DEPLOYED_DESCRIPTORS - DEPLOYED_FOR_FILES - accepted - callers;
        expect(left).toBeGreaterThan(DEPLOYED_DESCRIPTORS / 10);
    });
});
