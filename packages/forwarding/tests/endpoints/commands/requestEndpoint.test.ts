import { afterEach, describe, expect, it } from "vitest";
import { requestEndpoint } from "../../../src/endpoints/commands/requestEndpoint.js";
import { createConnectionPool } from "../../../src/endpoints/model/connectionPool.js";
import { type EndpointScript, startEndpoint, testProtocol } from "../../hostFixture.js";

const closers: (() => unknown)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

async function createPool(script: EndpointScript): Promise<ReturnType<typeof createConnectionPool>> {
    const endpoint = await startEndpoint("e0", script);
    const pool = createConnectionPool(endpoint.address);
    closers.push(() => pool.close(), endpoint.close);
    return pool;
}

const order = testProtocol.buildRelease("r1");
const options = { protocol: testProtocol, timeoutMs: 300 };

describe("requestEndpoint", () => {
    // Guards against an order that counts as granted because of a late copy of the response to a caller's request.
    it("does not take a response to a caller's request for the reply", async () => {
        const pool = await createPool((_received, socket) =>
            socket.write("HTTP/1.1 200 OK\r\nt-id: q1\r\nt-signature: s\r\ncontent-length: 2\r\n\r\n{}")
        );
        await expect(requestEndpoint(pool, order, options)).rejects.toThrow("does not belong");
    });
    // Guards against a late copy of a reply on a connection that is in use again, which counts as the reply to the next.
    it("uses a connection of its own for an order if it is told so", async () => {
        const sockets = new Set<unknown>();
        const pool = await createPool((_received, socket) => {
            sockets.add(socket);
            socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".repeat(2));
        });
        const newConnection = { ...options, usesNewConnection: true };
        expect((await requestEndpoint(pool, order, newConnection)).status).toBe(200);
        expect((await requestEndpoint(pool, order, newConnection)).status).toBe(200);
        expect(sockets.size).toBe(2);
    });
    // Guards against an endpoint that counts as unresponsive because this process was paused while its reply arrived.
    it("does not count a pause of this process as silence of the endpoint", async () => {
        const pool = await createPool((_received, socket) => {
            setTimeout(() => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"), 50);
        });
        const reply = requestEndpoint(pool, order, options);
        await new Promise(resolve => setTimeout(resolve, 20));
        const resumeAtMs = performance.now() + 600;
        while (performance.now() < resumeAtMs) {
            // Blocks the event loop, as a frozen machine or an exhausted processor quota does.
        }
        expect((await reply).status).toBe(200);
    });
});
