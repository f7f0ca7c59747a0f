/** Endpoints that send bytes without end, until the host closes the connection. */
import { connect, type Socket } from "node:net";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { RequestKind } from "../../../src/configuration/model/servingConfiguration.js";
import { probeEndpoint } from "../../../src/endpoints/commands/probeEndpoint.js";
import { getFailures } from "../../../src/endpoints/model/endpointHealth.js";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    startEndpoint,
    startTestHost,
    type TestHost,
    testProtocol,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const BLOCK_BYTES = 16_384;

/** Writes a head, then blocks until the connection is closed. */
const flood = (head: string, block: string): EndpointScript => (received, socket) => {
    socket.write(head.replace("ID", received.headers["t-id"] ?? ""));
    const repeated = block.repeat(Math.ceil(BLOCK_BYTES / block.length));
    writeForever(socket, () => repeated);
};

function writeForever(socket: Socket, getBlock: () => string): void {
    const write = (): void => {
        if (!socket.destroyed) {
            socket.write(getBlock(), () => setImmediate(write));
        }
    };
    write();
}

const ok = "HTTP/1.1 200 OK\r\nt-id: ID\r\nt-signature: s\r\n";
const chunkedStream = `${ok}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

interface Case {
    readonly name: string;
    readonly kind: RequestKind;
    readonly script: EndpointScript;
}

// Each row guards against a host whose memory, or whose connection, an endpoint can keep for as long as it sends.
const cases: readonly Case[] = [
    { name: "a status line", kind: "once", script: flood("HTTP/1.1 200 ", "a") },
    { name: "header lines", kind: "once", script: flood("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n") },
    { name: "informational responses", kind: "once", script: flood("", "HTTP/1.1 103 Early Hints\r\n\r\n") },
    { name: "a body with a length", kind: "once", script: flood(`${ok}content-length: 99999999999\r\n\r\n`, "a") },
    {
        name: "a chunked body",
        kind: "once",
        script: flood(`${ok}transfer-encoding: chunked\r\n\r\n`, formatChunk("a".repeat(4_096))),
    },
    // Chunks cost a host processor time and memory by their number, not only by their length.
    ...[1, 2, 8, 64].map(bytes => ({
        name: `a body in chunks of ${bytes} bytes`,
        kind: "once" as const,
        script: flood(`${ok}transfer-encoding: chunked\r\n\r\n`, formatChunk("a".repeat(bytes))),
    })),
    { name: "a chunk extension", kind: "once", script: flood(`${ok}transfer-encoding: chunked\r\n\r\n1;`, "x") },
    { name: "a trailer", kind: "once", script: flood(`${ok}transfer-encoding: chunked\r\n\r\n0\r\n`, "x-more: 1\r\n") },
    { name: "a body without a length", kind: "once", script: flood(`${ok}\r\n`, "a") },
    { name: "a repeatable request's body", kind: "repeatable", script: flood(`${ok}\r\n`, "a") },
    { name: "an event of a stream", kind: "stream", script: flood(chunkedStream, formatChunk("data: a")) },
    ...[1, 2, 8, 64].map(bytes => ({
        name: `an event in chunks of ${bytes} bytes`,
        kind: "stream" as const,
        script: flood(chunkedStream, formatChunk("a".repeat(bytes))),
    })),
    {
        name: "events that the caller already has",
        kind: "stream",
        script: flood(chunkedStream, formatChunk("id: 1\ndata: a\n\n")),
    },
    { name: "comments of a stream", kind: "stream", script: flood(chunkedStream, formatChunk(": a\n\n")) },
    { name: "empty lines of a stream", kind: "stream", script: flood(chunkedStream, formatChunk("\n\n")) },
    {
        name: "an error response to a stream",
        kind: "stream",
        script: flood("HTTP/1.1 500 X\r\nt-id: ID\r\nt-signature: s\r\n\r\n", "a"),
    },
    {
        name: "a response that states that the request was not run",
        kind: "stream",
        script: flood("HTTP/1.1 503 X\r\nt-id: ID\r\nt-not-run: 1\r\n\r\n", "a"),
    },
];

async function startSystem(
    script: EndpointScript,
    kind: RequestKind,
    changes: Parameters<typeof createRoute>[0] = {},
): Promise<TestHost> {
    const endpoint = await startEndpoint("e0", script);
    const host = await startTestHost([createRoute({ kind, attempts: 1, ...changes })], [endpoint], { graceMs: 200 });
    closers.push(() => host.host.drain(), endpoint.close);
    return host;
}

async function send(host: TestHost): Promise<{ status: number; isComplete: boolean; }> {
    const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q1" } });
    return reply.body.text().then(
        () => ({ status: reply.statusCode, isComplete: true }),
        () => ({ status: reply.statusCode, isComplete: false }),
    );
}

describe("endless responses", () => {
    it.each(cases)("ends an attempt whose endpoint sends $name without end", async ({ script, kind }) => {
        const host = await startSystem(script, kind);
        const startedAtMs = performance.now();
        const reply = await send(host);
        expect(reply.status < 300 && reply.isComplete).toBe(false);
        // The route's time limit is 5 s: the attempt must end because of what it received, not at its deadline.
        expect(performance.now() - startedAtMs).toBeLessThan(4_000);
        await waitUntil(() => host.host.context.resourceBudget.getUsed("response") === 0);
        expect(host.host.context.exchanges.size).toBe(0);
    });
    it("counts an endless response as a failure of the endpoint", async () => {
        const host = await startSystem(flood(`${ok}\r\n`, "a"), "once");
        await send(host);
        const [endpoint] = host.host.context.directory.listAll();
        expect(endpoint && getFailures(endpoint.health, performance.now())).toBeGreaterThan(0.5);
    });
    it("bounds what all responses together occupy", async () => {
        const host = await startSystem(
            // Each response stays below the limit on one body and does not end.
            (received, socket) => {
                beginStream(socket, received);
                writeChunk(socket, "a".repeat(150_000));
            },
            "once",
        );
        const replies = Promise.all(Array.from({ length: 6 }, () => send(host)));
        await waitUntil(() => host.host.context.resourceBudget.getUsed("response") > 250_000);
        expect(host.host.context.resourceBudget.getUsed("response")).toBeLessThanOrEqual(400_000);
        expect((await replies).every(reply => reply.status >= 500)).toBe(true);
        expect(host.host.context.resourceBudget.getUsed("response")).toBe(0);
    });
    it("ends a probe whose reply has no end", async () => {
        const endpoint = await startEndpoint("e0", flood(`${ok}\r\n`, "a"));
        const host = await startTestHost([createRoute()], [endpoint], { graceMs: 200 });
        closers.push(() => host.host.drain(), endpoint.close);
        const [known] = host.host.context.directory.listAll();
        const protocol = { ...testProtocol, buildReport: () => ({ method: "GET", path: "/flood" } as const) };
        expect(known && await probeEndpoint(known, protocol)).toBeUndefined();
    });
});

/** Defaults of the settings. */
const deployedLimits = { max_body_bytes: 8 * 1024 * 1024, max_event_bytes: 1024 * 1024, max_buffered_bytes: 48e6 };

/** Sends a request that fails, with the default limits, and counts the answers about readiness until its end. */
async function countReadyAnswers(host: TestHost): Promise<number> {
    host.host.context.settings = { ...host.host.context.settings, responses: deployedLimits };
    const reply = send(host);
    const state = { isPending: true };
    void reply.then(() => void (state.isPending = false));
    let answers = 0;
    while (state.isPending) {
        const { statusCode, body } = await request(`http://${host.listen.readiness}/ready`);
        await body.dump();
        expect(statusCode).toBe(200);
        answers += host.host.context.exchanges.size;
    }
    const { status, isComplete } = await reply;
    expect(status === 502 || !isComplete).toBe(true);
    return answers;
}

describe("bodies in short chunks", () => {
    // Guards against an endpoint that occupies the event loop of a host, so that it answers nobody.
    it.each([1, 2, 8])("lets other requests go on during a body in chunks of %d bytes without end", async bytes => {
        const host = await startSystem(
            flood(`${ok}transfer-encoding: chunked\r\n\r\n`, formatChunk("a".repeat(bytes))),
            "once",
        );
        // The body takes hundreds of turns of the event loop, in each of which other requests are served.
        expect(await countReadyAnswers(host)).toBeGreaterThan(10);
    });
    // Guards against work for each byte of an incomplete event that grows with its length.
    it.each([1, 8, 64])("lets other requests go on during an event in chunks of %d bytes without end", async bytes => {
        const host = await startSystem(flood(chunkedStream, formatChunk("a".repeat(bytes))), "stream");
        expect(await countReadyAnswers(host)).toBeGreaterThan(10);
    });
    it("lets other requests go on during short events without end", async () => {
        let id = 0;
        const host = await startSystem(
            (received, socket) => {
                socket.write(chunkedStream.replace("ID", received.headers["t-id"] ?? ""));
                writeForever(
                    socket,
                    () => formatChunk(Array.from({ length: 1_000 }, () => `id:${id += 1}\n\n`).join("")),
                );
            },
            "stream",
            { timeoutMs: 1_000 },
        );
        expect(await countReadyAnswers(host)).toBeGreaterThan(10);
    });
    // Guards against a limit that takes the endless bytes of a faulty endpoint for a reason to cut sound responses.
    it("accepts a sound body of 100,000 chunks of one byte", async () => {
        const host = await startSystem(
            (received, socket) => {
                beginStream(socket, received);
                socket.write(`${formatChunk("a").repeat(100_000)}0\r\n\r\n`);
            },
            "once",
        );
        const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q1" } });
        expect((await reply.body.text()).length).toBe(100_000);
        await waitUntil(() => host.host.context.resourceBudget.getUsed("response") === 0);
    });
    // Guards against a response that waits for a slow caller and does not count as buffered meanwhile.
    it("counts a response as buffered until its caller has received it", async () => {
        const host = await startSystem(
            (received, socket) => writeAnswer(socket, received, 200, "a".repeat(8_000_000)),
            "once",
        );
        host.host.context.settings = { ...host.host.context.settings, responses: deployedLimits };
        const socket = connect(Number(host.listen.callers.split(":")[1]), "127.0.0.1");
        socket.pause();
        socket.write("GET /r/x HTTP/1.1\r\nhost: desk.example\r\nt-id: q1\r\n\r\n");
        await waitUntil(() => host.logged.some(line => line["outcome"] === "answered"));
        expect(host.host.context.resourceBudget.getUsed("response")).toBeGreaterThanOrEqual(8_000_000);
        socket.destroy();
        await waitUntil(() => host.host.context.resourceBudget.getUsed("response") === 0);
    });
});

describe("stalled streams", () => {
    const trickle = (text: string): EndpointScript => (received, socket) => {
        beginStream(socket, received);
        writeChunk(socket, "id: 1\ndata: a\n\n");
        const timer = setInterval(() => socket.destroyed ? clearInterval(timer) : writeChunk(socket, text), 100);
    };
    // Guards against a stalled stream that is kept because its endpoint sends a byte now and then.
    it.each([{ name: "bytes", text: "d" }, { name: "comments", text: ":\n\n" }])(
        "ends a stream that only trickles $name and continues it elsewhere",
        async ({ text }) => {
            const endpoints = await Promise.all([
                startEndpoint("e0", trickle(text)),
                startEndpoint("e1", trickle(text)),
            ]);
            const route = createRoute({ kind: "stream", canResume: true, targetPauseMs: 100, timeoutMs: 6_000 });
            const host = await startTestHost([route], endpoints, { graceMs: 200 });
            closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
            void send(host);
            await waitUntil(() => endpoints.every(endpoint => endpoint.received.length === 1));
        },
    );
    // Guards against a sound stream that is cut because each of its events comes late.
    it("does not cut a stream whose events are slow but regular", async () => {
        const slow: EndpointScript = (received, socket) => {
            beginStream(socket, received);
            let id = Number(received.headers["t-last"] ?? 0);
            const timer = setInterval(() => {
                id += 1;
                writeChunk(socket, `id: ${id}\ndata: a\n\n`);
                if (id === 4) {
                    clearInterval(timer);
                    socket.write("0\r\n\r\n");
                }
            }, 900);
        };
        const endpoints = await Promise.all([startEndpoint("e0", slow), startEndpoint("e1", slow)]);
        const route = createRoute({ kind: "stream", canResume: true, targetPauseMs: 100, timeoutMs: 9_000 });
        const host = await startTestHost([route], endpoints, { graceMs: 200 });
        closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
        expect(await send(host)).toEqual({ status: 200, isComplete: true });
        expect(endpoints.reduce((sum, endpoint) => sum + endpoint.received.length, 0)).toBe(1);
    });
    // Guards against answers that are broken off under load: a sound stream was cut although nothing could continue it.
    it("does not cut a stalled stream while the retry budget does not allow to continue it", async () => {
        const stalling: EndpointScript = (received, socket) => {
            beginStream(socket, received);
            writeChunk(socket, "id: 1\ndata: a\n\n");
            setTimeout(() => {
                writeChunk(socket, "id: 2\ndata: a\n\n");
                socket.write("0\r\n\r\n");
            }, 2_600);
        };
        const endpoints = await Promise.all([startEndpoint("e0", stalling), startEndpoint("e1", stalling)]);
        const route = createRoute({ kind: "stream", canResume: true, targetPauseMs: 100, timeoutMs: 6_000 });
        const host = await startTestHost([route], endpoints, { graceMs: 200, extraRetries: 0 });
        closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
        expect(await send(host)).toEqual({ status: 200, isComplete: true });
    });
});
