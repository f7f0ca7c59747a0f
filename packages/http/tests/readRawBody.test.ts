import { request as httpRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createResourceBudget, type RunningServer, sendJson, serveHttp } from "../src/index.js";

const closers: (() => unknown)[] = [];
afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

const BODY_BYTES = 400_000;

interface TestServer extends RunningServer {
    readonly getUsed: () => number;
    readonly finishAll: () => void;
}

/** Starts a server that keeps its responses until `finishAll` is called, and whose bodies may occupy 1 MB together. */
async function startServer(): Promise<TestServer> {
    const budget = createResourceBudget({
        getLimit: () => 72 * 1024 * 1024,
        getKindLimit: kind => kind === "body" ? 1_000_000 : Infinity,
    });
    const waiting: (() => void)[] = [];
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        budget,
        routes: [{
            method: "ALL",
            path: "*",
            handle: ({ body }, response) => {
                const { length } = body as Buffer;
                waiting.push(() => sendJson(response, 200, { length }));
            },
        }],
    });
    closers.push(() => server.close());
    return {
        ...server,
        getUsed: () => budget.getUsed("body"),
        finishAll: () => waiting.splice(0).forEach(finish => finish()),
    };
}

function sendBody(port: number, body: Buffer): Promise<number | undefined> {
    return new Promise((resolve, reject) => {
        const sent = httpRequest({ host: "127.0.0.1", port, method: "POST", agent: false }, response => {
            response.resume();
            response.once("end", () => resolve(response.statusCode));
        });
        sent.once("error", reject);
        sent.end(body);
    });
}

/** Opens a connection and begins a request with a chunked body. */
function beginChunked(port: number): Socket {
    const socket = connect(port, "127.0.0.1");
    closers.push(() => socket.destroy());
    socket.write("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    return socket;
}

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

describe("bodies of requests", () => {
    // Guards against a host whose memory is used up by many large bodies at the same time.
    it("are refused beyond the budget, until earlier ones have been answered", async () => {
        const server = await startServer();
        const body = Buffer.alloc(BODY_BYTES);
        const first = [sendBody(server.port, body), sendBody(server.port, body)];
        await waitUntil(() => server.getUsed() >= 2 * BODY_BYTES);
        expect(await sendBody(server.port, body)).toBe(503);
        await new Promise(resolve => setImmediate(resolve));
        server.finishAll();
        expect(await Promise.all(first)).toEqual([200, 200]);
        await waitUntil(() => server.getUsed() === 0);
        const last = sendBody(server.port, body);
        await waitUntil(() => server.getUsed() >= BODY_BYTES);
        server.finishAll();
        expect(await last).toBe(200);
    });
    it("return their memory if the connection closes early", async () => {
        const server = await startServer();
        const socket = beginChunked(server.port);
        socket.write(`${BODY_BYTES.toString(16)}\r\n${"a".repeat(BODY_BYTES / 2)}`);
        await waitUntil(() => server.getUsed() >= BODY_BYTES / 2);
        socket.destroy();
        await waitUntil(() => server.getUsed() === 0);
    });
    // Guards against a caller that uses up the heap, or the event loop, with a body in many small chunks.
    it.each([1, 2, 8, 64, 65_536])("occupy the memory of their bytes in chunks of %d bytes", async chunkBytes => {
        const server = await startServer();
        const socket = beginChunked(server.port);
        let answer = "";
        socket.on("data", data => void (answer += data.toString()));
        const count = Math.ceil(BODY_BYTES / chunkBytes);
        const chunk = `${chunkBytes.toString(16)}\r\n${"a".repeat(chunkBytes)}\r\n`;
        socket.write(`${chunk.repeat(count)}0\r\n\r\n`);
        let turns = 0;
        const countTurns = (): void => {
            turns += 1;
            if (answer === "") {
                setImmediate(countTurns);
            }
        };
        countTurns();
        await waitUntil(() => {
            server.finishAll();
            return answer !== "";
        });
        expect(answer).toContain(`{"length":${count * chunkBytes}}`);
        expect(turns).toBeGreaterThanOrEqual(count / 1_024);
        await waitUntil(() => server.getUsed() === 0);
    });
});
