import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    endStream,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    waitUntil,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const EVENTS = 6;
const allEvents = Array.from({ length: EVENTS }, (_, index) => formatEvent(index + 1)).join("");

/** Writes the events after the last event id of the request, up to `until`. */
function writeRemaining(
    socket: Parameters<EndpointScript>[1],
    received: Parameters<EndpointScript>[0],
    until = EVENTS,
): void {
    beginStream(socket, received);
    for (let id = Number(received.headers["t-last"] ?? 0) + 1; id <= until; id += 1) {
        writeChunk(socket, formatEvent(id));
    }
}

const answer: EndpointScript = (received, socket) => {
    writeRemaining(socket, received);
    endStream(socket);
};

/** Fails the first request that any endpoint of a test receives, and completes the others. */
function failFirst(fail: EndpointScript): EndpointScript {
    let count = 0;
    return (received, socket, endpointRequestCount) => {
        count += 1;
        (count === 1 ? fail : answer)(received, socket, endpointRequestCount);
    };
}

async function startSystem(
    script: EndpointScript,
    changes: Parameters<typeof createRoute>[0] = {},
): Promise<{ host: TestHost; endpoints: TestEndpoint[]; }> {
    const endpoints = await Promise.all(["e0", "e1"].map(id => startEndpoint(id, script)));
    const host = await startTestHost(
        [createRoute({ kind: "stream", canResume: true, ...changes })],
        endpoints,
        { graceMs: 200 },
    );
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    return { host, endpoints };
}

async function send(host: TestHost): Promise<{ status: number; signature: unknown; body: string; }> {
    const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q1" } });
    const body = await reply.body.text().catch(() => "truncated");
    return { status: reply.statusCode, signature: reply.headers["t-signature"], body };
}

interface Case {
    readonly name: string;
    readonly fail: EndpointScript;
    readonly attemptsReceived: number;
}

describe("serveStream", () => {
    // Guards against missing, duplicated and partly forwarded events.
    const cases: readonly Case[] = [
        { name: "nothing fails", fail: answer, attemptsReceived: 1 },
        {
            name: "the connection is reset before the first event",
            fail: (_received, socket) => socket.resetAndDestroy(),
            attemptsReceived: 2,
        },
        {
            name: "the connection ends after an event",
            fail: (received, socket) => {
                writeRemaining(socket, received, 3);
                socket.end();
            },
            attemptsReceived: 2,
        },
        {
            name: "the connection ends inside an event",
            fail: (received, socket) => {
                writeRemaining(socket, received, 3);
                writeChunk(socket, "id: 4\nda");
                socket.end();
            },
            attemptsReceived: 2,
        },
        {
            name: "the body ends regularly inside an event",
            fail: (received, socket) => {
                writeRemaining(socket, received, 2);
                writeChunk(socket, "id: 3\nda");
                endStream(socket);
            },
            attemptsReceived: 2,
        },
        {
            name: "the endpoint responds with an error",
            fail: (received, socket) => writeAnswer(socket, received, 500, "failed"),
            attemptsReceived: 2,
        },
        {
            name: "the endpoint states that it did not run the request",
            fail: (received, socket) => writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n"),
            attemptsReceived: 2,
        },
        { name: "the endpoint never responds", fail: () => undefined, attemptsReceived: 2 },
        {
            name: "the events stop",
            fail: (received, socket) => writeRemaining(socket, received, 2),
            attemptsReceived: 2,
        },
        {
            name: "the endpoint repeats events",
            fail: (received, socket) => {
                writeRemaining(socket, received, 3);
                writeChunk(socket, formatEvent(2));
                writeChunk(socket, [4, 5, 6].map(formatEvent).join(""));
                endStream(socket);
            },
            attemptsReceived: 1,
        },
    ];
    it.each(cases)("delivers the complete stream if $name", async ({ fail, attemptsReceived }) => {
        const { host, endpoints } = await startSystem(failFirst(fail));
        const reply = await send(host);
        expect(reply).toMatchObject({ status: 200, body: allEvents });
        expect(endpoints.flatMap(endpoint => endpoint.received)).toHaveLength(attemptsReceived);
    });
    it("keeps the signature of the first endpoint", async () => {
        const { host, endpoints } = await startSystem(failFirst((received, socket) => {
            writeRemaining(socket, received, 3);
            socket.end();
        }));
        const { signature } = await send(host);
        const first = endpoints.find(endpoint => endpoint.received[0]?.headers["t-last"] === undefined);
        expect(signature).toBe(first?.id);
    });
    it("truncates the response if a stream that cannot be resumed fails", async () => {
        const { host, endpoints } = await startSystem((received, socket) => {
            writeRemaining(socket, received, 3);
            setTimeout(() => socket.end(), 50);
        }, { canResume: false });
        expect((await send(host)).body).toBe("truncated");
        expect(endpoints.flatMap(endpoint => endpoint.received)).toHaveLength(1);
    });
    it("does not retry a stream that cannot be resumed after a reset", async () => {
        const { host, endpoints } = await startSystem((_received, socket) => socket.resetAndDestroy(), {
            canResume: false,
        });
        expect((await send(host)).status).toBe(502);
        expect(endpoints.flatMap(endpoint => endpoint.received)).toHaveLength(1);
    });
    // Guards against an endpoint that works on for a caller that has disconnected.
    it("closes the connection to the endpoint when the caller disconnects", async () => {
        const { host, endpoints } = await startSystem((received, socket) => writeRemaining(socket, received, 2));
        const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q1" } });
        reply.body.on("error", () => undefined);
        await new Promise(resolve => reply.body.once("data", resolve));
        reply.body.destroy();
        await waitUntil(() => endpoints.some(endpoint => endpoint.received.length === 1 && endpoint.closed >= 1));
        await waitUntil(() => host.host.context.exchanges.size === 0);
        expect(host.host.context.assignmentRegistry.listLocal()).toEqual([]);
    });
    it("ends a stream at the time limit of its route", async () => {
        const { host } = await startSystem((received, socket) => writeRemaining(socket, received, 2), {
            timeoutMs: 400,
            attempts: 1,
        });
        expect((await send(host)).body).toBe("truncated");
    });
    // Guards against a sound stream that is cut as stalled because its caller reads slowly, and against one that ends with
    // its connection while the caller has not read all of it.
    it.each([
        { name: "chunks", head: "transfer-encoding: chunked\r\n" },
        { name: "neither a length nor chunks", head: "connection: close\r\n" },
    ])("delivers a stream with $name to a caller that reads slowly", async ({ head }) => {
        const text = Array.from({ length: 1_200 }, (_, index) => `id: ${index + 1}\ndata: ${"a".repeat(10_000)}\n\n`)
            .join("");
        const { host } = await startSystem((received, socket) => {
            socket.write(`HTTP/1.1 200 OK\r\nt-id: ${received.headers["t-id"] ?? ""}\r\nt-signature: s\r\n${head}\r\n`);
            socket.end(head.includes("chunked") ? `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n` : text);
        }, { timeoutMs: 20_000 });
        const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q1" } });
        await new Promise(resolve => setTimeout(resolve, 2_500));
        expect((await reply.body.text()).length).toBe(text.length);
        const ended = host.logged.find(line => line["msg"] === "requests: ended");
        expect(ended?.["attempts"]).toHaveLength(1);
        expect(ended?.["outcome"]).toBe("complete");
    });
});
