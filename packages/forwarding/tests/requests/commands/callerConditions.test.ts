/** Requests of callers with a condition that endpoints refuse in the same way as a misdirected request. */
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import {
    faultRoutes,
    type FaultySystem,
    framings,
    routeNames,
    startFaultySystem,
    wholeStream,
} from "../../faultFixture.js";
import type { EndpointScript } from "../../hostFixture.js";

let system: FaultySystem | undefined;
afterEach(async () => {
    await system?.close();
    system = undefined;
});

const MISDIRECTED = "HTTP/1.1 421 X\r\ncontent-length: 0\r\n";

/** Refuses requests with a condition, or with a target that names another endpoint. */
const serve: EndpointScript = (received, socket) => {
    const isRefused = received.headers["t-condition"] !== undefined || received.target.includes("misdirected");
    socket.write(
        isRefused
            ? `${MISDIRECTED}t-id: ${received.headers["t-id"] ?? ""}\r\nt-not-run: 1\r\n\r\n`
            : framings.sized(received, wholeStream),
    );
};

let count = 0;
async function send(headers: Readonly<Record<string, string>> = {}, path = "/r/x"): Promise<number> {
    count += 1;
    const reply = await request(`${system!.host.url}${path}`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": `q${count}`, ...headers },
        body: "x",
    });
    await reply.body.dump();
    return reply.statusCode;
}

const listReady = (): readonly string[] =>
    system!.host.host.context.directory.listAll().map(({ entry }) => entry.id).sort();

describe("a request with a condition of its caller", () => {
    // Guards against one caller that takes sound endpoints out of use for all others, by a condition that none meets.
    it.each(routeNames)("leaves the endpoints in use: %s", async name => {
        system = await startFaultySystem({ ...faultRoutes[name], attempts: 2 }, serve, 3);
        for (let sent = 0; sent < 6; sent += 1) {
            expect(await send({ "t-condition": "7" })).toBe(503);
        }
        expect(listReady()).toEqual(["e0", "e1", "e2"]);
        for (let sent = 0; sent < 6; sent += 1) {
            expect(await send()).toBe(200);
        }
    });
    // Guards against an address that belongs to another endpoint and goes on being used.
    it("is not needed to find out that an address is used again", async () => {
        system = await startFaultySystem({ ...faultRoutes.call, attempts: 2 }, serve, 3);
        expect(await send({}, "/r/misdirected")).toBe(503);
        expect(listReady()).toHaveLength(1);
    });
});
