/** Requests before and while a host shuts down. */
import { connect, type Socket } from "node:net";
import { Agent, request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import {
    beginStream,
    createRoute,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function getStatus(url: string): Promise<number> {
    const reply = await request(url, { headers: { "host": "desk.example", "t-id": "q" } });
    await reply.body.dump();
    return reply.statusCode;
}

/** A connection of a caller. */
interface TestCaller {
    readonly socket: Socket;
    readonly isClosed: Promise<unknown>;
    /** Returns what has been received. */
    readonly read: () => string;
}

function openCaller({ listen }: TestHost): TestCaller {
    const [ip = "", port = "0"] = listen.callers.split(":");
    const socket = connect(Number(port), ip);
    closers.push(() => socket.destroy());
    let received = "";
    socket.on("data", chunk => {
        received += chunk.toString();
    });
    socket.on("error", () => undefined);
    return { socket, isClosed: new Promise(resolve => socket.once("close", resolve)), read: () => received };
}

/** A request without the last two bytes of its body. */
const HALF_REQUEST = "POST /r/x HTTP/1.1\r\nhost: desk.example\r\nt-id: q1\r\ncontent-length: 4\r\n\r\nab";

describe("a host that stops", () => {
    // Guards against a graceful shutdown that aborts a request in flight.
    it("completes requests in flight before it stops, and closes connections after their answers", async () => {
        const endpoint = await startEndpoint(
            "e0",
            (received, socket) => void setTimeout(() => writeAnswer(socket, received, 200, "late"), 600),
        );
        closers.push(endpoint.close);
        const host = await startTestHost([createRoute({ kind: "once" })], [endpoint], { graceMs: 1_500 });
        const early = getStatus(`${host.url}/r/x`);
        await waitUntil(() => endpoint.received.length === 1);
        const drained = host.host.drain();
        expect(await getStatus(`http://${host.listen.readiness}/ready`)).toBe(503);
        const during = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q" } });
        expect(during.statusCode).toBe(200);
        expect(during.headers["connection"]).toBe("close");
        await during.body.dump();
        expect(await early).toBe(200);
        await drained;
        await expect(getStatus(`${host.url}/r/x`)).rejects.toThrow();
    });
    // Guards against a shutdown that cuts off a request whose head has been accepted while its body is on its way.
    it.each([
        { name: "before the balancer has noticed", bodyAfterMs: 900, timeoutMs: 5_000 },
        { name: "after it, with a time limit that ends before the stop", bodyAfterMs: 1_500, timeoutMs: 1_000 },
    ])("answers a request whose body arrives during the shutdown: $name", async ({ bodyAfterMs, timeoutMs }) => {
        const endpoint = await startEndpoint("e0", (received, socket) => writeAnswer(socket, received, 200, "whole"));
        closers.push(endpoint.close);
        const route = createRoute({ kind: "once", timeoutMs });
        const host = await startTestHost([route], [endpoint], { graceMs: 3_000 });
        const { socket, isClosed, read } = openCaller(host);
        socket.write(HALF_REQUEST);
        await new Promise(resolve => setTimeout(resolve, 50));
        const drained = host.host.drain();
        await new Promise(resolve => setTimeout(resolve, bodyAfterMs));
        socket.write("cd");
        await Promise.all([drained, isClosed]);
        expect(read()).toContain("HTTP/1.1 200");
        expect(read()).toContain("whole");
        expect(endpoint.received[0]?.body).toBe("abcd");
    });
    // Guards against a request on a connection that its caller opened before the shutdown and did not use, which is
    // passed on and cut off: the balancer has noticed long ago, and such a call must not be repeated.
    it.each([
        {
            name: "refuses a late call that may take until after the stop",
            route: createRoute({ kind: "once", timeoutMs: 1_500 }),
            afterMs: 2_600,
            workMs: 1_400,
            status: 503,
            received: 0,
        },
        {
            name: "refuses a late call with a long time limit",
            route: createRoute({ kind: "once", timeoutMs: 3_000 }),
            afterMs: 1_800,
            workMs: 2_500,
            status: 503,
            received: 0,
        },
        {
            name: "answers a late call whose time limit ends before the stop",
            route: createRoute({ kind: "once", timeoutMs: 700 }),
            afterMs: 2_600,
            workMs: 300,
            status: 200,
            received: 1,
        },
        {
            name: "answers an early call with a long time limit",
            route: createRoute({ kind: "once", timeoutMs: 15_000 }),
            afterMs: 1_000,
            workMs: 2_000,
            status: 200,
            received: 1,
        },
        {
            name: "gives a final answer to a call that runs at the stop",
            route: createRoute({ kind: "once", timeoutMs: 15_000 }),
            afterMs: 1_000,
            workMs: 10_000,
            status: 502,
            received: 1,
        },
        {
            name: "gives a final answer to a stream that has not begun at the stop",
            route: createRoute({ kind: "stream", canResume: false, timeoutMs: 15_000, targetMs: 300 }),
            afterMs: 1_000,
            workMs: 10_000,
            status: 502,
            received: 1,
        },
    ])("$name", async ({ route, afterMs, workMs, status, received }) => {
        const endpoint = await startEndpoint("e0", (request, socket) => {
            setTimeout(() => writeAnswer(socket, request, 200, "whole"), workMs);
        });
        closers.push(endpoint.close);
        const host = await startTestHost([route], [endpoint], { graceMs: 4_000 });
        const [ip = "", port = "0"] = host.listen.callers.split(":");
        const [unused, pending] = [connect(Number(port), ip), connect(Number(port), ip)];
        closers.push(() => unused.destroy(), () => pending.destroy());
        // A request whose body does not end keeps the host from stopping early.
        pending.write("POST /r/x HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 4\r\n\r\n");
        await new Promise(resolve => setTimeout(resolve, 50));
        const drained = host.host.drain();
        await new Promise(resolve => setTimeout(resolve, afterMs));
        const answer = new Promise<string>(resolve => {
            unused.once("data", data => resolve(data.toString()));
            unused.once("close", () => resolve("closed"));
        });
        unused.write("POST /r/x HTTP/1.1\r\nhost: desk.example\r\nt-id: q1\r\ncontent-length: 0\r\n\r\n");
        expect(await answer).toContain(`HTTP/1.1 ${status}`);
        expect(endpoint.received).toHaveLength(received);
        await drained;
    });
    // Guards against a request that is passed on late in the grace time and cut off at its end, although it may not run
    // a second time.
    it.each([
        { name: "a call", route: createRoute({ kind: "once" }), afterMs: 1_200 },
        { name: "a stream", route: createRoute({ kind: "stream" }), afterMs: 400 },
    ])("refuses $name that comes too late to be answered before it stops", async ({ route, afterMs }) => {
        const endpoint = await startEndpoint("e0", () => undefined);
        closers.push(endpoint.close);
        const host = await startTestHost([route], [endpoint], { graceMs: 2_000 });
        const { socket, isClosed, read } = openCaller(host);
        socket.write(HALF_REQUEST);
        await new Promise(resolve => setTimeout(resolve, 50));
        const drained = host.host.drain();
        await new Promise(resolve => setTimeout(resolve, afterMs));
        socket.write("cd");
        await Promise.all([drained, isClosed]);
        expect(read()).toContain("HTTP/1.1 503");
        expect(read().toLowerCase()).toContain("connection: close");
        expect(endpoint.received).toEqual([]);
    });
    // Guards against a request that is passed on late in the grace time and cut off, because its head came while the load
    // balancer still sent requests and its body took longer.
    it.each([
        { name: "before the balancer has noticed", bodyAfterMs: 1_100, workMs: 1_500, status: 200 },
        { name: "after it", bodyAfterMs: 1_700, workMs: 2_500, status: 503 },
    ])("decides about a stream when its body has arrived: $name", async ({ bodyAfterMs, workMs, status }) => {
        const endpoint = await startEndpoint("e0", (received, socket) => {
            beginStream(socket, received);
            writeChunk(socket, formatEvent(1));
            setTimeout(() => endStream(socket), workMs);
        });
        closers.push(endpoint.close);
        const route = createRoute({ kind: "stream", timeoutMs: 15_000, targetMs: 300 });
        const host = await startTestHost([route], [endpoint], { graceMs: 4_000 });
        const { socket, isClosed, read } = openCaller(host);
        const drained = host.host.drain();
        socket.write(HALF_REQUEST);
        await new Promise(resolve => setTimeout(resolve, bodyAfterMs));
        socket.write("cd");
        await Promise.all([drained, isClosed]);
        expect(read()).toContain(`HTTP/1.1 ${status}`);
        expect(endpoint.received).toHaveLength(status === 200 ? 1 : 0);
        expect(read().endsWith("\r\n0\r\n\r\n")).toBe(true);
    });
    // Guards against a connection that is closed without a word because its request waits for something other than an
    // endpoint when the host stops.
    it.each(["admit", "acquire"] as const)("refuses a stream that waits when the host stops: %s", async wait => {
        const endpoint = await startEndpoint("e0", () => undefined);
        closers.push(endpoint.close);
        const route = createRoute({ kind: "stream", timeoutMs: 15_000, targetMs: 300 });
        const host = await startTestHost([route], [endpoint], { graceMs: 1_000 });
        const { quarantine, permits } = host.host.context;
        const startWaiting = (): Promise<never> => new Promise(() => undefined);
        Object.assign(wait === "admit" ? quarantine : permits, { [wait]: startWaiting });
        const status = getStatus(`${host.url}/r/x`);
        await waitUntil(() => host.host.context.exchanges.size === 1);
        await host.host.drain();
        expect(await status).toBe(503);
        expect(endpoint.received).toEqual([]);
        expect(host.logged.filter(line => line["outcome"] === "stopping")).toHaveLength(1);
    });
    // Guards against a connection that is closed without a word while the body of its request arrives slowly.
    it("refuses a request whose body is incomplete when the host stops", async () => {
        const host = await startTestHost([createRoute({ kind: "once" })], [], { graceMs: 1_000 });
        const { socket, isClosed, read } = openCaller(host);
        socket.write(HALF_REQUEST);
        await waitUntil(() => host.host.context.resourceBudget.getUsed("request") > 0);
        await Promise.all([host.host.drain(), isClosed]);
        expect(read()).toContain("HTTP/1.1 503");
        expect(read()).toContain("stopping");
    });
    // Guards against a request that is lost because it arrives on an unused connection while a starved host is about to
    // close its connections.
    it("answers a request that has arrived unread at the end of its drain", async () => {
        const endpoint = await startEndpoint("e0", (received, socket) => writeAnswer(socket, received, 200, "whole"));
        closers.push(endpoint.close);
        const route = createRoute({ kind: "once", timeoutMs: 300 });
        const host = await startTestHost([route], [endpoint], { graceMs: 1_000 });
        const { socket, isClosed, read } = openCaller(host);
        await new Promise(resolve => socket.once("connect", resolve));
        const drained = host.host.drain();
        // The drain ends 350 ms after its start if nothing is pending.
        await new Promise(resolve => setTimeout(resolve, 300));
        // Timers run after this phase of the event loop, and reads after them.
        await new Promise(resolve => setImmediate(resolve));
        socket.write("GET /r/x HTTP/1.1\r\nhost: desk.example\r\nt-id: q1\r\n\r\n");
        const unblockedAtMs = performance.now() + 150;
        while (performance.now() < unblockedAtMs) {
            // The host handles no event.
        }
        await Promise.all([drained, isClosed]);
        expect(read()).toContain("HTTP/1.1 200");
    });
    // Guards against a drain that counts no request while the head of one is arriving, and closes its connection.
    it("answers a request whose head arrives in pieces around the end of its drain", async () => {
        const endpoint = await startEndpoint("e0", (received, socket) => writeAnswer(socket, received, 200, "whole"));
        closers.push(endpoint.close);
        const route = createRoute({ kind: "once", timeoutMs: 300 });
        const host = await startTestHost([route], [endpoint], { graceMs: 1_500 });
        const { socket, isClosed, read } = openCaller(host);
        socket.write("GET /r/x HTTP/1.1\r\nhost: desk.example\r\n");
        await new Promise(resolve => setTimeout(resolve, 50));
        const drained = host.host.drain();
        // The drain ends 525 ms after its start if nothing is pending.
        await new Promise(resolve => setTimeout(resolve, 700));
        socket.write("t-id: q1\r\n\r\n");
        await Promise.all([drained, isClosed]);
        expect(read()).toContain("HTTP/1.1 200");
    });
    // Guards against a shutdown that loses answers under load: each request that the host has accepted is answered.
    it("answers every request that it accepts during the shutdown under load", async () => {
        const endpoint = await startEndpoint(
            "e0",
            (received, socket) => void setTimeout(() => writeAnswer(socket, received, 200, "a".repeat(50_000)), 20),
        );
        closers.push(endpoint.close);
        const host = await startTestHost([createRoute({ kind: "repeatable" })], [endpoint], { graceMs: 1_500 });
        const agent = new Agent({ connections: 20 });
        closers.push(() => agent.close());
        let answers = 0;
        let isStopped = false;
        const callers = Array.from({ length: 20 }, async () => {
            while (!isStopped) {
                await request(`${host.url}/r/x`, {
                    dispatcher: agent,
                    headers: { "host": "desk.example", "t-id": "q" },
                }).then(async reply => {
                    const body = await reply.body.text();
                    answers += body.length === 50_000 ? 1 : 0;
                }).catch(() => new Promise(resolve => setTimeout(resolve, 5)));
            }
        });
        await waitUntil(() => answers > 100);
        const answersBefore = answers;
        await host.host.drain();
        isStopped = true;
        await Promise.all(callers);
        expect(answers).toBeGreaterThan(answersBefore);
        expect(answers).toBe(host.logged.filter(line => line["msg"] === "requests: ended").length);
    });
    // Guards against pipelined requests that get no answer because the answer before them ends the connection.
    it("answers pipelined requests whose heads have arrived before the shutdown", async () => {
        const endpoint = await startEndpoint(
            "e0",
            (received, socket) => void setTimeout(() => writeAnswer(socket, received, 200, "a"), 20),
        );
        closers.push(endpoint.close);
        const host = await startTestHost([createRoute()], [endpoint], { graceMs: 2_000 });
        const { socket, isClosed, read } = openCaller(host);
        const ids = Array.from({ length: 10 }, (_item, index) => `q${index}`);
        socket.write(ids.map(id => `GET /r/x HTTP/1.1\r\nhost: desk.example\r\nt-id: ${id}\r\n\r\n`).join(""));
        await waitUntil(() => endpoint.received.length > 0);
        await host.host.drain();
        await isClosed;
        expect(read().match(/HTTP\/1\.1 \d+/g)).toEqual(ids.map(() => "HTTP/1.1 200"));
        expect(read().match(/connection: close/gi)).toHaveLength(1);
    });
});
