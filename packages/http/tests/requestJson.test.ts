import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { gzipSync } from "node:zlib";
import { Pool } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import { requestJson } from "../src/index.js";

const servers: Server[] = [];
afterEach(() =>
    servers.splice(0).forEach(server => {
        server.closeAllConnections();
        server.close();
    })
);

async function startServer(respond: (response: ServerResponse) => void): Promise<string> {
    const server = createServer((_request, response) => respond(response));
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
}

/** Writes until the connection is closed. */
function writeForever(response: ServerResponse): void {
    if (!response.destroyed) {
        response.write("a".repeat(16_384), () => setImmediate(() => writeForever(response)));
    }
}

const describeError = (error: unknown): string => (error as Error).name;

describe("requestJson", () => {
    // Guards against a store or a peer that fills the memory of a host with a body that has no end.
    it.each([
        { name: "a body without end", respond: writeForever },
        {
            name: "a compressed body that is small on the wire",
            respond: (response: ServerResponse): void => {
                response.setHeader("content-encoding", "gzip");
                response.end(gzipSync(Buffer.alloc(1_000_000, "a")));
            },
        },
    ])("rejects $name", async ({ respond }) => {
        const url = await startServer(respond);
        const startedAtMs = performance.now();
        await expect(requestJson(url, { timeoutMs: 5_000, maxBodyBytes: 100_000 })).rejects.toThrow();
        expect(performance.now() - startedAtMs).toBeLessThan(4_000);
    });
    // Guards against calls that last until a host without power is back: undici does not abort a request whose connection
    // is still being set up.
    it("ends at its time limit although no connection is established", async () => {
        const dispatcher = new Pool("http://127.0.0.1:9", { connect: () => undefined });
        const outcome = await Promise.race([
            requestJson("http://127.0.0.1:9/", { timeoutMs: 100, dispatcher }).then(() => "response", describeError),
            new Promise<string>(resolve => setTimeout(() => resolve("still waiting"), 5_000)),
        ]);
        expect(outcome).toBe("TimeoutError");
    });
    it("reads compressed and other bodies", async () => {
        const plain = await startServer(response => void response.end("{\"a\":1}"));
        const compressed = await startServer(response => {
            response.setHeader("content-encoding", "gzip");
            response.end(gzipSync("{\"a\":1}"));
        });
        expect((await requestJson(plain)).body).toEqual({ a: 1 });
        expect((await requestJson(compressed)).body).toEqual({ a: 1 });
    });
});
