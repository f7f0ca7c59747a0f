import { connect, type Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { serveHttp } from "../src/index.js";

const BODY_BYTES = 30_000_000;
const REQUEST = "GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

const closers: (() => unknown)[] = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

async function startServer(bodyBytes: number): Promise<Awaited<ReturnType<typeof serveHttp>>> {
    const server = await serveHttp({
        host: "127.0.0.1",
        port: 0,
        bodies: "raw",
        routes: [{
            method: "GET",
            path: "/x",
            handle: (_request, response) => {
                response.writeHead(200, { "content-length": bodyBytes });
                response.end(Buffer.alloc(bodyBytes));
            },
        }],
    });
    closers.push(() => server.close());
    return server;
}

function openClient(port: number): Socket {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    closers.push(() => socket.destroy());
    return socket;
}

describe("a drain", () => {
    // Guards against a response that is cut because its last bytes wait for a slow reader when the drain starts.
    it.each([1, 2])("sends %i responses in full to a client that reads slowly", async count => {
        const server = await startServer(BODY_BYTES);
        const socket = openClient(server.port);
        let received = 0;
        socket.write(REQUEST.repeat(count));
        await new Promise<void>(resolve => socket.once("readable", resolve));
        const drained = server.drain();
        // Several sweeps of idle connections.
        await new Promise(resolve => setTimeout(resolve, 100));
        socket.on("data", (chunk: Buffer) => {
            received += chunk.length;
        });
        await new Promise(resolve => socket.once("close", resolve));
        await drained;
        expect(received).toBeGreaterThan(count * BODY_BYTES);
    });

    // Guards against a drain that waits for connections without a request.
    it("closes connections that are kept", async () => {
        const server = await startServer(10);
        const socket = openClient(server.port);
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.write(REQUEST);
        await new Promise(resolve => socket.once("data", resolve));
        await server.drain();
        await closed;
        expect(server.countPending()).toBe(0);
    });
});
