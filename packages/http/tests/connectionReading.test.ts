import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createResourceBudget, type ResourceBudget, type RunningServer, sendJson, serveHttp } from "../src/index.js";

const MB = 1_048_576;
const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

interface TestServer extends RunningServer {
    readonly budget: ResourceBudget;
    /** Sends the responses that wait, each with a body of this length. */
    readonly respond: (length: number) => void;
    /** Number of pieces that all connections have passed on. */
    readonly countPieces: () => number;
}

/** Starts a server that answers a request when `respond` is called, or at once if its path begins with `/now`. */
async function startServer(limitBytes = 36 * MB): Promise<TestServer> {
    const budget = createResourceBudget({ getLimit: () => limitBytes });
    const unanswered: ((length: number) => void)[] = [];
    let pieces = 0;
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        maxHeaderBytes: 65_536,
        budget,
        routes: [{
            method: "ALL",
            path: "*",
            handle: (request, response) => {
                if (request.path.startsWith("/now")) {
                    sendJson(response, 200, {});
                    return;
                }
                unanswered.push(length => response.end("a".repeat(length)));
            },
        }],
    });
    server.server.on("connection", (socket: Socket) => {
        socket.on("data", () => {
            pieces += 1;
        });
    });
    closers.push(() => server.close());
    const respond = (length: number): void => unanswered.splice(0).forEach(send => send(length));
    return { ...server, budget, respond, countPieces: () => pieces };
}

function openCaller(port: number): { socket: Socket; countResponses: () => number; } {
    const socket = connect(port, "127.0.0.1");
    closers.push(() => socket.destroy());
    let text = "";
    socket.on("data", (chunk: Buffer) => {
        text += chunk.toString();
    });
    socket.on("error", () => undefined);
    return { socket, countResponses: () => text.split("HTTP/1.1 200").length - 1 };
}

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
const waitUntil = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await wait(2);
    }
};

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;
const beginChunked = (path: string): string => `POST ${path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n`;
const buildChunks = (count: number, content: string): string =>
    `${content.length.toString(16)}\r\n${content}\r\n`.repeat(count);

describe("reading from connections", () => {
    // Guards against bytes that are lost, with an uncaught exception, if a connection is resumed that Node.js has paused
    // because its responses are not read.
    it("answers what a caller pipelines behind a long response that it does not read", async () => {
        const server = await startServer();
        const { socket, countResponses } = openCaller(server.port);
        socket.write(get("/slow") + beginChunked("/now/1") + buildChunks(1_020, "a"));
        await waitUntil(() => server.countPending() === 2);
        socket.pause();
        server.respond(20 * MB);
        await wait(100);
        socket.write(`${buildChunks(10, "a")}0\r\n\r\n${get("/now/2")}${get("/now/3")}`);
        await wait(100);
        socket.write(get("/now/4"));
        await wait(50);
        socket.resume();
        await waitUntil(() => countResponses() === 5);
    });
    // Guards against uploads in chunks that are paid for like heads, and closed far below the memory that they take.
    it("serves many callers that upload bodies in chunks at once", async () => {
        const server = await startServer();
        const callers = Array.from({ length: 80 }, () => openCaller(server.port));
        const chunk = buildChunks(1, "a".repeat(65_536));
        callers.forEach(({ socket }) => socket.write(beginChunked("/now") + chunk));
        await waitUntil(() => server.budget.getUsed("body") >= callers.length * 60_000);
        expect(server.budget.getUsed("head")).toBeLessThan(2 * MB);
        callers.forEach(({ socket }) => socket.write(`${chunk}0\r\n\r\n`));
        await waitUntil(() => callers.every(({ countResponses }) => countResponses() === 1));
    });
    // Guards against a waiting request whose body nobody reads yet, and which takes all of the processor's time.
    it("does not poll for the reader of a waiting body", async () => {
        const server = await startServer();
        const { socket, countResponses } = openCaller(server.port);
        const body = "a".repeat(5_000);
        const expecting =
            `POST /now HTTP/1.1\r\nhost: a\r\nexpect: foo\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
        socket.write(get("/slow") + expecting);
        await waitUntil(() => server.countPending() === 2);
        await wait(100);
        expect(server.countPieces()).toBeLessThan(20);
        server.respond(1);
        await waitUntil(() => countResponses() === 1);
    });
});
