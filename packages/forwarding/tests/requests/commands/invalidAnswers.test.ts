/** Bytes that are no answer, and answers that come before the request has been sent: none may look like a whole answer. */
import { randomBytes } from "node:crypto";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import { faultRoutes, formatChunk, type RouteName, routeNames, wholeStream } from "../../faultFixture.js";
import {
    createRoute,
    startEndpoint,
    startTestHost,
    type TestEndpoint,
    type TestHost,
    writeAnswer,
} from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const EVENTS_TYPE = "content-type: text/event-stream\r\n";
const isStream = (route: RouteName): boolean => "kind" in faultRoutes[route] && faultRoutes[route].kind === "stream";

/** Responds to the head of a request; its body is not read before that. */
type HeadScript = (socket: Socket, id: string) => void;

async function startHost(route: RouteName, script: HeadScript): Promise<TestHost> {
    const sockets = new Set<Socket>();
    const server = createServer({ allowHalfOpen: true }, socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let head = "";
        socket.on("data", chunk => {
            if (head.includes("\r\n\r\n")) {
                return;
            }
            head += chunk.toString("latin1");
            if (head.startsWith("GET /report")) {
                head = "";
                socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
                return;
            }
            if (head.includes("\r\n\r\n")) {
                script(socket, /t-id: (\S+)/.exec(head)?.[1] ?? "");
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const endpoint = { id: "e", address } as never;
    const host = await startTestHost([createRoute({ timeoutMs: 3_000, ...faultRoutes[route] })], [endpoint], {
        graceMs: 200,
        maxBufferedBytes: 16_000_000,
    });
    host.configure({ limits: { maxBodyBytes: 4_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 } });
    closers.push(() => host.host.drain(), () => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return host;
}

interface Reply {
    readonly status: number;
    readonly body: string;
    readonly isComplete: boolean;
}

async function send(host: TestHost, body?: Buffer): Promise<Reply> {
    const reply = await request(`${host.url}/r/x`, {
        method: body === undefined ? "GET" : "POST",
        headers: { "host": "desk.example", "t-id": "q1" },
        ...(body === undefined ? {} : { body }),
    });
    try {
        return { status: reply.statusCode, body: await reply.body.text(), isComplete: true };
    }
    catch {
        return { status: reply.statusCode, body: "", isComplete: false };
    }
}

/** Status lines of answers that HTTP does not define, and some that are no status lines. */
const statusLines = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 777 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 -200 X",
    "HTTP/1.1 abc X",
    "HTTP/1.1",
    "HTTP/9.9 200 OK",
    "ICY 200 OK",
];

describe("an answer whose status HTTP does not define", () => {
    const cases = statusLines.flatMap(line => routeNames.map(route => ({ line, route })));
    // Guards against a status that means nothing to the caller, and against a promise "not run" that nobody has given.
    it.each(cases)("is no answer: $line to $route", async ({ line, route }) => {
        const body = isStream(route) ? wholeStream : "part";
        const host = await startHost(route, (socket, id) => {
            socket.write(
                `${line}\r\nt-id: ${id}\r\nt-signature: s\r\n${isStream(route) ? EVENTS_TYPE : ""}`
                    + `content-length: ${body.length}\r\n\r\n${body}`,
            );
        });
        const { status } = await send(host);
        expect([502, 504]).toContain(status);
    });
});

describe("a repeatable call that gets such an answer", () => {
    // Guards against an answer that only one endpoint gives wrong, and that the caller gets as a failure.
    it("is sent to another endpoint", async () => {
        const endpoints: TestEndpoint[] = [];
        const countReceived = (): number => endpoints.flatMap(({ received }) => received).length;
        for (const id of ["e0", "e1"]) {
            endpoints.push(
                await startEndpoint(
                    id,
                    (received, socket) => writeAnswer(socket, received, countReceived() === 1 ? 777 : 200, "ok"),
                ),
            );
        }
        const host = await startTestHost([createRoute(faultRoutes.call)], endpoints, { graceMs: 200 });
        closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
        expect(await send(host)).toEqual({ status: 200, body: "ok", isComplete: true });
        expect(countReceived()).toBe(2);
    });
});

interface EarlyAnswer {
    readonly name: string;
    /** Bytes after the status line and the fields that name the request. */
    readonly build: (body: string) => string;
    /** How the endpoint closes the connection, 20 ms after the answer. */
    readonly close: (socket: Socket) => void;
    /** Whether the answer is whole. */
    readonly isWhole: boolean;
    /** Version in the status line. */
    readonly version?: string;
}

const reset = (socket: Socket): void => void socket.resetAndDestroy();
const end = (socket: Socket): void => void socket.end();

const earlyAnswers: readonly EarlyAnswer[] = [
    { name: "without a length, then a reset", build: body => `\r\n${body}`, close: reset, isWhole: false },
    {
        name: "too short, then a reset",
        build: body => `content-length: 900\r\n\r\n${body}`,
        close: reset,
        isWhole: false,
    },
    { name: "too short, then an end", build: body => `content-length: 900\r\n\r\n${body}`, close: end, isWhole: false },
    {
        name: "chunks without end, then a reset",
        build: body => `transfer-encoding: chunked\r\n\r\n${formatChunk(body)}`,
        close: reset,
        isWhole: false,
    },
    {
        name: "chunks without end, then an end",
        build: body => `transfer-encoding: chunked\r\n\r\n${formatChunk(body)}`,
        close: end,
        isWhole: false,
    },
    {
        name: "HTTP/1.0 without a length, then a reset",
        build: body => `\r\n${body}`,
        close: reset,
        isWhole: false,
        version: "1.0",
    },
    { name: "without a length, then an end", build: body => `\r\n${body}`, close: end, isWhole: true },
    {
        name: "with its length",
        build: body => `content-length: ${body.length}\r\n\r\n${body}`,
        close: end,
        isWhole: true,
    },
];

/** Sizes of uploads: none, and one that is still being sent when the answer comes. */
const uploads = [0, 3_000_000];

describe("an answer before the request has been sent in full", () => {
    const cases = earlyAnswers.flatMap(answer =>
        routeNames.flatMap(route => uploads.map(bytes => ({ ...answer, route, bytes })))
    );
    // Guards against the part of an answer that was reset on the way and is taken for all of it.
    it.each(cases)(
        "is passed on only if it is whole: $name ($route, $bytes bytes)",
        async ({ build, close, isWhole, route, bytes, version = "1.1" }) => {
            const body = isStream(route) ? wholeStream : "part of a body";
            const host = await startHost(route, (socket, id) => {
                socket.write(
                    `HTTP/${version} 200 OK\r\nt-id: ${id}\r\nt-signature: s\r\n`
                        + `${isStream(route) ? EVENTS_TYPE : ""}${build(body)}`,
                );
                setTimeout(() => close(socket), 20);
            });
            const reply = await send(host, bytes === 0 ? undefined : randomBytes(bytes));
            if (isWhole) {
                expect(reply).toEqual({ status: 200, body, isComplete: true });
                return;
            }
            expect(reply.status === 200 && reply.isComplete).toBe(false);
            expect([200, 502, 504]).toContain(reply.status);
            // What the caller's connection does next: the host serves a further request.
            expect((await send(host)).status).toBeGreaterThanOrEqual(200);
        },
    );
});
