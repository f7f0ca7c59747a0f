import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { type RunningServer, sendJson, serveHttp } from "../src/index.js";

const closers: (() => unknown)[] = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

const REQUEST = "GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
const IDLE_TIMEOUT_MS = 100;
/** Longer than the timeout and what Node.js adds to it, which is a second. */
const BLOCKED_MS = 1_400;

/** Handles no event for a time, like a process without processor time. */
function spendTime(ms: number): void {
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
        // Nothing else may run.
    }
}

/** Starts a server, and sends a first request on a connection that is then kept. */
async function openKeptConnection(
    idleTimeoutMs = IDLE_TIMEOUT_MS,
): Promise<{ server: RunningServer; caller: Socket; countResponses: () => number; }> {
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        routes: [{ method: "ALL", path: "*", handle: (_request, response) => sendJson(response, 200, {}) }],
    });
    closers.push(() => server.close());
    server.server.keepAliveTimeout = idleTimeoutMs;
    const caller = connect(server.port, "127.0.0.1");
    closers.push(() => caller.destroy());
    let text = "";
    caller.on("error", () => undefined);
    const answered = new Promise(resolve => caller.once("data", resolve));
    caller.on("data", (chunk: Buffer) => {
        text += chunk.toString();
    });
    caller.write(REQUEST);
    await answered;
    return { server, caller, countResponses: () => text.split("HTTP/1.1 200").length - 1 };
}

describe("a request that arrives while the process handles no event", () => {
    // Guards against requests that get neither an answer nor a refusal: timers run before connections are read, so the
    // connection was taken as idle.
    it.each<{ name: string; close: (server: RunningServer) => void; }>([
        { name: "the keep-alive timeout", close: () => undefined },
        {
            name: "a shorter keep-alive timeout of a new configuration",
            close: ({ server }) => {
                server.keepAliveTimeout = 1;
            },
        },
        { name: "the beginning of a drain", close: server => void server.drain() },
    ])("is answered in spite of $name", async ({ close }) => {
        const { server, caller, countResponses } = await openKeptConnection();
        caller.write(REQUEST);
        spendTime(BLOCKED_MS);
        close(server);
        await new Promise(resolve => setTimeout(resolve, IDLE_TIMEOUT_MS));
        expect(countResponses()).toBe(2);
    });

    // Guards against connections that are never closed because they might get a request.
    it("keeps no connection beyond its timeout", async () => {
        const { caller } = await openKeptConnection();
        await new Promise(resolve => caller.once("close", resolve));
    });

    // Guards against a new configuration that ends what was accepted under the old one.
    it("keeps an idle connection for the timeout that held when it became idle", async () => {
        const { server, caller, countResponses } = await openKeptConnection(5_000);
        server.server.keepAliveTimeout = 1;
        await new Promise(resolve => setTimeout(resolve, BLOCKED_MS));
        caller.write(REQUEST);
        await new Promise(resolve => setTimeout(resolve, IDLE_TIMEOUT_MS));
        expect(countResponses()).toBe(2);
    });
});
