/** Responses that belong to another request, or that an endpoint breaks off: none may look like a complete one. */
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { Route } from "../../../src/configuration/model/servingConfiguration.js";
import {
    beginStream,
    createRoute,
    type EndpointScript,
    formatEvent,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    writeAnswer,
    writeChunk,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

async function startSystem(
    route: Partial<Route>,
    scripts: readonly EndpointScript[],
): Promise<{ host: TestHost; endpoints: TestEndpoint[]; }> {
    const endpoints = await Promise.all(scripts.map((script, index) => startEndpoint(`e${index}`, script)));
    const host = await startTestHost([createRoute(route)], endpoints, { graceMs: 200 });
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    return { host, endpoints };
}

async function send(host: TestHost, id: string): Promise<{ status: number; body: string; }> {
    try {
        const reply = await request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": id } });
        return { status: reply.statusCode, body: await reply.body.text().catch(() => "truncated") };
    }
    catch {
        return { status: 0, body: "truncated" };
    }
}

const REFUSAL = "HTTP/1.1 503 X\r\nt-not-run: 1\r\ncontent-length: 0\r\n\r\n";

describe("a refusal that an endpoint repeats on a reused connection", () => {
    // Guards against the guarantee "not run" for a request that the endpoint is running.
    it.each(
        [
            { name: "a call", route: { kind: "repeatable", attempts: 1 } },
            { name: "a stream", route: { kind: "stream", canResume: true, attempts: 1 } },
        ] as const,
    )("does not count for the next request: $name", async ({ route }) => {
        const { host, endpoints } = await startSystem(route, [(_received, socket) => socket.write(REFUSAL)]);
        expect((await send(host, "q1")).status).toBe(503);
        expect((await send(host, "q2")).status).toBe(502);
        expect(endpoints[0]?.received).toHaveLength(2);
    });
    // Guards against an unknown outcome where the endpoint has stated that it did not run the request.
    it("counts if it names the request", async () => {
        const { host } = await startSystem({ kind: "repeatable", attempts: 1 }, [
            (received, socket) => writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n"),
        ]);
        expect((await send(host, "q1")).status).toBe(503);
        expect((await send(host, "q2")).status).toBe(503);
    });
});

describe("an error response to a stream that has begun", () => {
    const begin: EndpointScript = (received, socket) => {
        beginStream(socket, received);
        writeChunk(socket, formatEvent(1));
        socket.end();
    };
    // Guards against the error's text, or its head, in the middle of the stream, and against an end that looks regular.
    it.each<{ readonly name: string; readonly respond: EndpointScript; }>([
        { name: "a failure", respond: (received, socket) => writeAnswer(socket, received, 500, "broken") },
        { name: "a client error", respond: (received, socket) => writeAnswer(socket, received, 404, "missing") },
        {
            name: "a refusal",
            respond: (received, socket) => writeAnswer(socket, received, 503, "busy", "t-not-run: 1\r\n"),
        },
        { name: "an empty failure", respond: (received, socket) => writeAnswer(socket, received, 502, "") },
    ])("is not forwarded: $name", async ({ respond }) => {
        let count = 0;
        const script: EndpointScript = (received, socket, received2) => {
            count += 1;
            (count === 1 ? begin : respond)(received, socket, received2);
        };
        const { host } = await startSystem({ kind: "stream", canResume: true, attempts: 2 }, [script, script]);
        expect(await send(host, "q1")).toEqual({ status: 200, body: "truncated" });
        expect(count).toBe(2);
    });
});

describe("a response that the endpoint breaks off", () => {
    const head = (id: string | undefined): string =>
        `HTTP/1.1 200 OK\r\nt-id: ${id ?? ""}\r\nt-signature: s\r\nconnection: close\r\n`;
    // Guards against a success with an empty or short body that is framed as complete.
    it.each([
        { name: "in the status line", text: "HTTP/1.1 200 O" },
        { name: "in the header lines", text: "{head}content-le" },
        { name: "before the end of the head", text: "{head}" },
        { name: "after the head, with a length", text: "{head}content-length: 5\r\n\r\n" },
        { name: "in a body with a length", text: "{head}content-length: 50\r\n\r\nid: 1\ndata: e\n\n" },
        { name: "between two chunks", text: "{head}transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: e1\n\n\r\n" },
        { name: "before the first chunk", text: "{head}transfer-encoding: chunked\r\n\r\n" },
        { name: "after the head of a stream without a length", text: "{head}\r\n", kinds: ["stream"] },
        { name: "inside an event without a length", text: "{head}\r\nid: 1\nda", kinds: ["stream"] },
    ].flatMap(({ kinds = ["once", "stream"], ...each }) => kinds.map(kind => ({ ...each, kind }))))(
        "is not complete: $kind $name",
        async ({ text, kind }) => {
            const script: EndpointScript = (received, socket) =>
                void socket.end(text.replace("{head}", head(received.headers["t-id"])));
            const { host } = await startSystem({ kind: kind as Route["kind"], attempts: 1 }, [script]);
            const { status, body } = await send(host, "q1");
            expect(status === 502 || body === "truncated").toBe(true);
        },
    );
});
