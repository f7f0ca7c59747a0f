import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createResourceBudget, type RunningServer, sendJson, serveHttp, type ServeHttpOptions } from "../src/index.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const CALLS = 400;
const MAX_BYTES = 72 * 1024 * 1024;
const MAX_BODY_BYTES = 1_000_000;

interface TestServer extends RunningServer {
    /** Paths of the requests whose handler has been called, in order. */
    readonly begun: string[];
    /** Responds to the requests that have been begun and not answered. */
    readonly respond: (headers?: Readonly<Record<string, string>>) => void;
    readonly getUsedBytes: () => number;
}

/** Starts a server that answers a request when `respond` is called, or at once if its path begins with `/now`. */
async function startServer(options: Partial<ServeHttpOptions> = {}): Promise<TestServer> {
    const budget = createResourceBudget({
        getLimit: () => MAX_BYTES,
        getKindLimit: kind => kind === "body" ? MAX_BODY_BYTES : Infinity,
    });
    const begun: string[] = [];
    const unanswered: ((headers?: Readonly<Record<string, string>>) => void)[] = [];
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        budget,
        routes: [{
            method: "ALL",
            path: "*",
            handle: ({ path, body }, response) => {
                begun.push(path);
                const send = (headers?: Readonly<Record<string, string>>): void =>
                    sendJson(response, 200, { path, length: (body as Buffer).length }, headers);
                if (path.startsWith("/now")) {
                    send();
                    return;
                }
                unanswered.push(send);
            },
        }],
        ...options,
    });
    closers.push(() => server.close());
    return {
        ...server,
        begun,
        respond: headers => unanswered.splice(0).forEach(send => send(headers)),
        getUsedBytes: () => budget.getUsed("body"),
    };
}

interface Caller {
    readonly socket: Socket;
    /** Paths and body lengths of the responses so far, as `PATH LENGTH`, or `STATUS` of a response without a path. */
    readonly listResponses: () => string[];
    readonly isClosed: () => boolean;
}

function openCaller(port: number): Caller {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    closers.push(() => socket.destroy());
    let text = "";
    let isClosed = false;
    socket.on("data", (chunk: Buffer) => {
        text += chunk.toString();
    });
    for (const event of ["end", "error", "close"]) {
        socket.on(event, () => {
            isClosed = true;
        });
    }
    return {
        socket,
        listResponses: () =>
            text.split(/(?=HTTP\/1\.1 )/).filter(part => part !== "").map(part => {
                const [, path, length] = /"path":"([^"]*)","length":(\d+)/.exec(part) ?? [];
                return path === undefined ? part.split(" ")[1] ?? "" : `${path} ${length}`;
            }),
        isClosed: () => isClosed,
    };
}

const buildRequest = (path: string, body = ""): string =>
    `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

const buildRequests = (count: number, prefix: string, body = ""): string =>
    Array.from({ length: count }, (_item, index) => buildRequest(`${prefix}${index}`, body)).join("");

const listExpected = (count: number, prefix: string, length = 0): string[] =>
    Array.from({ length: count }, (_item, index) => `${prefix}${index} ${length}`);

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 2));
    }
};

/** Sends a request on a connection of its own and waits for its response, so that what was sent before has been received. */
async function probeServer(server: TestServer): Promise<void> {
    const { socket, listResponses } = openCaller(server.port);
    socket.write(buildRequest("/now/probe"));
    await waitUntil(() => listResponses().length === 1);
    socket.destroy();
}

const countBegun = ({ begun }: TestServer): number => begun.filter(path => !path.startsWith("/now/probe")).length;

describe("pipelined requests", () => {
    // Every request of a chunk was begun at once, so one connection could take all of the host's time and memory.
    it("begins one request of a connection at a time, whose callers read nothing", async () => {
        const server = await startServer();
        const callers = Array.from({ length: 5 }, () => openCaller(server.port));
        for (const { socket } of callers) {
            socket.pause();
            socket.write(buildRequests(CALLS, "/call/"));
        }
        await waitUntil(() => countBegun(server) >= callers.length);
        await probeServer(server);
        await probeServer(server);
        expect(countBegun(server)).toBe(callers.length);
    });

    // Requests that had been begun for a connection that has closed got no end: they stayed pending, with their memory.
    it("neither begins nor keeps requests of a closed connection", async () => {
        const server = await startServer();
        const { socket } = openCaller(server.port);
        socket.write(buildRequests(10, "/call/", "x".repeat(100)));
        await waitUntil(() => server.countPending() === 10);
        socket.resetAndDestroy();
        await waitUntil(() => server.countPending() === 0 || countBegun(server) > 1);
        server.respond();
        await probeServer(server);
        expect({ begun: countBegun(server), pending: server.countPending(), bytes: server.getUsedBytes() })
            .toEqual({ begun: 1, pending: 0, bytes: 0 });
    });

    // A connection that is not read does not report that it has closed, so its requests could be begun one by one to the last.
    it("ends the requests of a closed connection of which reading has stopped", async () => {
        const server = await startServer();
        const { socket } = openCaller(server.port);
        socket.write(buildRequests(CALLS, "/call/", "x".repeat(100)));
        await waitUntil(() => server.countPending() > 16);
        socket.resetAndDestroy();
        for (let round = 0; round < 20; round += 1) {
            await probeServer(server);
            server.respond();
        }
        await probeServer(server);
        expect(countBegun(server)).toBeLessThanOrEqual(3);
        expect({ pending: server.countPending(), bytes: server.getUsedBytes() }).toEqual({ pending: 0, bytes: 0 });
    });

    // Requests that wait must neither be lost nor overtake each other, in particular where reading stops and resumes.
    it.each([
        { name: "without bodies", body: "" },
        { name: "with bodies", body: "x".repeat(1_000) },
        { name: "with bodies longer than a read", body: "x".repeat(100_000) },
    ])("answers all requests in order $name", async ({ body }) => {
        const server = await startServer();
        const { socket, listResponses } = openCaller(server.port);
        socket.write(buildRequests(CALLS, "/now/", body));
        await waitUntil(() => listResponses().length === CALLS);
        expect(listResponses()).toEqual(listExpected(CALLS, "/now/", body.length));
        await waitUntil(() => server.countPending() === 0);
        expect(server.getUsedBytes()).toBe(0);
    });

    // Requests that arrive on a connection while others wait were read without limit.
    it("stops reading while requests wait", async () => {
        const server = await startServer();
        const { socket } = openCaller(server.port);
        socket.write(buildRequests(20_000, "/call/", "x".repeat(1_000)));
        await waitUntil(() => server.countPending() > 10);
        for (let round = 0; round < 20; round += 1) {
            await probeServer(server);
        }
        // 64 KiB are read at once.
        expect(server.countPending()).toBeLessThan(150);
    });

    // Many connections with short requests, of which one read contains thousands, exceeded the heap.
    it("closes the connections with most requests if too many wait", async () => {
        const server = await startServer();
        const callers = Array.from({ length: 600 }, () => openCaller(server.port));
        const few = openCaller(server.port);
        few.socket.write(buildRequests(3, "/call/"));
        for (const { socket } of callers) {
            socket.write("GET /call HTTP/1.1\r\nhost: a\r\n\r\n".repeat(4_000));
        }
        await waitUntil(() => callers.some(caller => caller.isClosed()) || server.countPending() > 20_000);
        await probeServer(server);
        expect(server.countPending()).toBeLessThanOrEqual(16_384 + callers.length + 1);
        expect(server.countPending()).toBeGreaterThan(8_000);
        expect(few.isClosed()).toBe(false);
        [few, ...callers].forEach(({ socket }) => socket.resetAndDestroy());
        await waitUntil(() => {
            server.respond();
            return server.countPending() === 0;
        });
    });

    // Guards against waiting requests that are few and large: 800 connections with headers of 12,000 bytes exceeded a heap of
    // 200 MB, and bodies are not part of the budget before they are read.
    it.each([
        { name: "headers", build: () => `POST /call HTTP/1.1\r\nhost: a\r\nx: ${"h".repeat(12_000)}\r\n\r\n` },
        { name: "bodies", build: () => buildRequest("/call", "b".repeat(12_000)) },
    ])("closes connections if waiting requests with large $name occupy too much memory", async ({ build }) => {
        const server = await startServer({ budget: createResourceBudget({ getLimit: () => MAX_BYTES }) });
        const few = openCaller(server.port);
        few.socket.write(buildRequests(3, "/call/"));
        const callers = Array.from({ length: 1_200 }, () => openCaller(server.port));
        callers.forEach(({ socket }) => socket.write(buildRequest("/call") + build().repeat(17)));
        const maxPending = Math.ceil(72 * 1024 * 1024 / 12_000);
        await waitUntil(() => callers.some(caller => caller.isClosed()) || server.countPending() > maxPending);
        await probeServer(server);
        expect(server.countPending()).toBeLessThanOrEqual(maxPending + callers.length + 1);
        expect(server.countPending()).toBeGreaterThan(1_000);
        expect(few.isClosed()).toBe(false);
    });

    // Node.js ends a connection that is half-closed: its callers get no response, so its requests must not be begun.
    it.each([
        { name: "after a request", rest: "" },
        { name: "in a head", rest: "POST /call" },
        { name: "in a body", rest: buildRequest("/call/5", "xxx").slice(0, -1) },
    ])("begins no further request of a connection half-closed $name", async ({ rest }) => {
        const server = await startServer();
        const { socket, isClosed } = openCaller(server.port);
        socket.end(buildRequests(5, "/call/") + rest);
        await waitUntil(isClosed);
        server.respond();
        await probeServer(server);
        expect(countBegun(server)).toBeLessThanOrEqual(1);
        expect(server.countPending()).toBe(0);
    });

    // A drain must wait for requests that wait for their turn.
    it("answers requests that wait when a drain starts", async () => {
        const server = await startServer();
        const { socket, listResponses, isClosed } = openCaller(server.port);
        socket.write(buildRequests(5, "/call/"));
        await waitUntil(() => server.countPending() === 5 && countBegun(server) > 0);
        const drained = server.drain();
        await waitUntil(() => {
            server.respond();
            return isClosed();
        });
        await drained;
        expect(listResponses()).toEqual(listExpected(5, "/call/"));
        expect(server.countPending()).toBe(0);
    });

    // After a response with `connection: close`, later requests of the connection were run for nobody.
    it("begins no request after a response that ends its connection", async () => {
        const server = await startServer();
        const { socket, listResponses, isClosed } = openCaller(server.port);
        socket.write(buildRequests(5, "/call/"));
        await waitUntil(() => server.countPending() === 5 && countBegun(server) > 0);
        await waitUntil(() => {
            server.respond({ connection: "close" });
            return isClosed();
        });
        await probeServer(server);
        expect({ begun: countBegun(server), pending: server.countPending(), responses: listResponses() })
            .toEqual({ begun: 1, pending: 0, responses: ["/call/0 0"] });
    });

    // The rest of a body must still be read when the request after it arrives in the same chunk.
    it("reads a body in pieces that is followed by a request", async () => {
        const server = await startServer();
        const { socket, listResponses } = openCaller(server.port);
        const text = buildRequest("/now/0", "x".repeat(300_000)) + buildRequest("/now/1", "y".repeat(5));
        for (let at = 0; at < text.length; at += 7_001) {
            socket.write(text.slice(at, at + 7_001));
            await new Promise(resolve => setImmediate(resolve));
        }
        await waitUntil(() => listResponses().length === 2);
        expect(listResponses()).toEqual(["/now/0 300000", "/now/1 5"]);
    });

    // A caller that leaves while its body is read ends its request once, and the memory of the body is returned.
    it("ends a request whose caller leaves before the end of its body", async () => {
        const server = await startServer();
        const { socket } = openCaller(server.port);
        socket.write(buildRequest("/call/0") + buildRequest("/call/1", "x".repeat(90_000)).slice(0, 50_000));
        await waitUntil(() => server.countPending() === 2 && countBegun(server) === 1);
        server.respond();
        await waitUntil(() => server.getUsedBytes() > 40_000);
        socket.resetAndDestroy();
        await waitUntil(() => server.countPending() === 0);
        await probeServer(server);
        expect({ begun: countBegun(server), pending: server.countPending(), bytes: server.getUsedBytes() })
            .toEqual({ begun: 1, pending: 0, bytes: 0 });
    });

    // 100 Continue must be sent in its turn, and 417 must not let the requests behind it be dropped.
    it("answers expectations in order", async () => {
        const server = await startServer();
        const { socket, listResponses } = openCaller(server.port);
        const buildExpecting = (path: string, expectation: string): string =>
            `POST ${path} HTTP/1.1\r\nhost: a\r\nexpect: ${expectation}\r\ncontent-length: 3\r\n\r\n`;
        socket.write(`${buildRequest("/now/0")}${buildExpecting("/now/1", "100-continue")}`);
        await waitUntil(() => listResponses().length === 2);
        socket.write(`abc${buildExpecting("/now/2", "tea")}abc${buildRequest("/now/3")}`);
        await waitUntil(() => listResponses().length === 5);
        expect(listResponses()).toEqual(["/now/0 0", "100", "/now/1 3", "417", "/now/3 0"]);
        await waitUntil(() => server.countPending() === 0);
    });

    // The error response to a malformed request was sent in place of the response to the request before it.
    it.each([
        { name: "head", text: "no HTTP\r\n\r\n" },
        { name: "body", text: "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n" },
    ])("answers the requests before a malformed $name first", async ({ text }) => {
        const server = await startServer();
        const { socket, listResponses, isClosed } = openCaller(server.port);
        socket.write(buildRequests(3, "/call/") + text);
        await waitUntil(() => server.countPending() === 3 && countBegun(server) > 0);
        await probeServer(server);
        await waitUntil(() => {
            server.respond();
            return isClosed();
        });
        expect(listResponses()).toEqual([...listExpected(3, "/call/"), "400"]);
        expect(server.countPending()).toBe(0);
    });

    /** Reports that the message which the server is receiving has exceeded the time limit, as Node.js does every 30 s. */
    function reportTimeout(server: TestServer, accepted: Socket | undefined): void {
        const error = Object.assign(new Error("request timeout"), { code: "ERR_HTTP_REQUEST_TIMEOUT" });
        server.server.emit("clientError", error, accepted);
    }

    // A request that cannot be read while others are answered must not end its connection by the time limit for receiving.
    it.each([
        { name: "answers it if its rest arrives", rest: "x".repeat(80_000), last: "/call/2 90000" },
        { name: "ends the connection if its rest does not arrive", rest: "", last: "408" },
    ])("does not apply the time limit to a request behind others: $name", async ({ rest, last }) => {
        const server = await startServer({ requestTimeoutMs: 100 });
        let accepted: Socket | undefined;
        server.server.once("connection", connection => void (accepted = connection));
        const { socket, listResponses } = openCaller(server.port);
        socket.write(buildRequests(2, "/call/") + buildRequest("/call/2", "x".repeat(90_000)).slice(0, -80_000));
        await waitUntil(() => server.countPending() === 3 && countBegun(server) === 1);
        reportTimeout(server, accepted);
        await probeServer(server);
        socket.write(rest);
        await waitUntil(() => {
            server.respond();
            return listResponses().length === 3;
        });
        expect(listResponses()).toEqual([...listExpected(2, "/call/"), last]);
        socket.destroy();
        await waitUntil(() => server.countPending() === 0);
    });
});
