/** What a caller is told after each way in which a send can fail. */
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import type { RequestKind } from "../../../src/configuration/model/servingConfiguration.js";
import {
    createRoute,
    type EndpointScript,
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

async function startSystem(
    kind: RequestKind,
    scripts: readonly EndpointScript[],
    attempts: number,
): Promise<{ host: TestHost; endpoints: TestEndpoint[]; }> {
    const endpoints = await Promise.all(scripts.map((script, index) => startEndpoint(`e${index}`, script)));
    const host = await startTestHost([createRoute({ kind, attempts })], endpoints, { graceMs: 200 });
    closers.push(() => host.host.drain(), ...endpoints.map(endpoint => endpoint.close));
    return { host, endpoints };
}

const answer: EndpointScript = (received, socket) => writeAnswer(socket, received, 200, "whole");
const fail: EndpointScript = (received, socket) => writeAnswer(socket, received, 500, "failed");
const refuse: EndpointScript = (received, socket) => writeAnswer(socket, received, 503, "", "t-not-run: 1\r\n");
const misdirect: EndpointScript = (received, socket) => writeAnswer(socket, received, 421, "");
const reset: EndpointScript = (_received, socket) => socket.resetAndDestroy();
const cut: EndpointScript = (received, socket) => {
    socket.write(
        `HTTP/1.1 200 OK\r\nt-id: ${received.headers["t-id"] ?? ""}\r\nt-signature: s\r\ncontent-length: 9\r\n\r\nhal`,
    );
    socket.end();
};
const resetUnframed: EndpointScript = (received, socket) => {
    socket.write(
        `HTTP/1.1 200 OK\r\nt-id: ${received.headers["t-id"] ?? ""}\r\nt-signature: s\r\nconnection: close\r\n\r\nhal`,
    );
    setTimeout(() => socket.resetAndDestroy(), 20);
};
const endUnframed: EndpointScript = (received, socket) => {
    socket.end(
        `HTTP/1.1 200 OK\r\nt-id: ${
            received.headers["t-id"] ?? ""
        }\r\nt-signature: s\r\nconnection: close\r\n\r\nwhole`,
    );
};
const answerOther: EndpointScript = (_received, socket) =>
    socket.write("HTTP/1.1 200 OK\r\nt-id: other\r\nt-signature: s\r\ncontent-length: 2\r\n\r\nno");
const answerUnsigned: EndpointScript = (received, socket) =>
    socket.write(`HTTP/1.1 200 OK\r\nt-id: ${received.headers["t-id"] ?? ""}\r\ncontent-length: 2\r\n\r\nno`);
const answerEncoded: EndpointScript = (received, socket) =>
    writeAnswer(socket, received, 200, "no", "content-encoding: gzip\r\n");
const writeGarbage: EndpointScript = (_received, socket) => socket.end("\u0000\u0001 nothing\r\n\r\n");
const staySilent: EndpointScript = () => undefined;

interface Case {
    readonly name: string;
    readonly kind: RequestKind;
    readonly attempts?: number;
    readonly scripts: readonly EndpointScript[];
    readonly status: number;
    readonly body?: string;
    /** Sends that may have reached an endpoint. */
    readonly sends: number;
}

// Each row guards against a promise that is not true, a lost answer, or a second run of a request that runs once.
const cases: readonly Case[] = [
    { name: "an answer is passed on", kind: "once", scripts: [answer], status: 200, body: "whole", sends: 1 },
    {
        name: "an endpoint's failure is passed on",
        kind: "once",
        scripts: [fail, fail],
        status: 500,
        body: "failed",
        sends: 1,
    },
    {
        name: "a reset after the send is unknown",
        kind: "once",
        attempts: 1,
        scripts: [reset, answer],
        status: 502,
        sends: 1,
    },
    {
        name: "a reset after the send is unknown also with attempts left",
        kind: "once",
        scripts: [reset, reset],
        status: 502,
        sends: 1,
    },
    {
        name: "an endpoint that did not run it is a promise",
        kind: "once",
        attempts: 1,
        scripts: [refuse, refuse],
        status: 503,
        sends: 1,
    },
    {
        name: "after a stated refusal another endpoint may be tried",
        kind: "once",
        scripts: [refuse, refuse],
        status: 503,
        sends: 2,
    },
    {
        name: "another endpoint at the address is a promise",
        kind: "once",
        attempts: 1,
        scripts: [misdirect],
        status: 503,
        sends: 1,
    },
    { name: "a cut answer is unknown", kind: "once", scripts: [cut], status: 502, sends: 1 },
    { name: "a reset body without length is unknown", kind: "once", scripts: [resetUnframed], status: 502, sends: 1 },
    {
        name: "a body without length that ends is whole",
        kind: "once",
        scripts: [endUnframed],
        status: 200,
        body: "whole",
        sends: 1,
    },
    { name: "an answer to another request is unknown", kind: "once", scripts: [answerOther], status: 502, sends: 1 },
    { name: "a success without signature is unknown", kind: "once", scripts: [answerUnsigned], status: 502, sends: 1 },
    { name: "an encoded body is unknown", kind: "once", scripts: [answerEncoded], status: 502, sends: 1 },
    { name: "bytes that are no answer are unknown", kind: "once", scripts: [writeGarbage], status: 502, sends: 1 },
    { name: "no endpoint is a promise", kind: "once", scripts: [], status: 503, sends: 0 },
    {
        name: "a repeatable request goes on after a reset",
        kind: "repeatable",
        scripts: [reset, reset],
        status: 502,
        sends: 2,
    },
    {
        name: "a repeatable request keeps the last failure",
        kind: "repeatable",
        scripts: [fail, fail],
        status: 500,
        body: "failed",
        sends: 2,
    },
    {
        name: "a repeatable request stays within its attempts",
        kind: "repeatable",
        attempts: 1,
        scripts: [fail, answer, answer],
        status: 500,
        sends: 1,
    },
];

async function send(
    host: TestHost,
    headers: Record<string, string> = {},
): Promise<{ status: number; headers: Record<string, unknown>; body: string; }> {
    const reply = await request(`${host.url}/r/x?y=1`, {
        method: "POST",
        headers: { "host": "desk.example", "t-id": "q1", ...headers },
        body: "the body",
    });
    return { status: reply.statusCode, headers: reply.headers, body: await reply.body.text() };
}

describe("break points", () => {
    it.each(cases)("$kind: $name", async ({ kind, attempts = 2, scripts, status, body, sends }) => {
        // With one script for all endpoints the choice of the endpoint does not matter; others are the same by row.
        const isUniform = scripts.every(script => script === scripts[0]);
        const { host, endpoints } = await startSystem(kind, isUniform ? scripts : scripts.slice(0, 1), attempts);
        const reply = await send(host);
        expect(reply.status).toBe(status);
        if (body !== undefined) {
            expect(reply.body).toBe(body);
        }
        expect(endpoints.reduce((sum, endpoint) => sum + endpoint.received.length, 0)).toBe(sends);
        expect(reply.headers["retry-after"] !== undefined).toBe(status === 503);
        expect(reply.headers["t-id"]).toBe("q1");
    });
    it("passes method, path, query and body on unchanged, with the endpoint that is expected", async () => {
        const { host, endpoints } = await startSystem("once", [answer], 1);
        await send(host, { "t-workspace": "forged", "x-own": "kept" });
        const [received] = endpoints[0]?.received ?? [];
        expect(received).toMatchObject({ method: "POST", target: "/r/x?y=1", body: "the body" });
        expect(received?.headers).toMatchObject({ "t-endpoint": "e0", "t-id": "q1", "x-own": "kept" });
        expect(received?.headers["t-workspace"]).toBeUndefined();
    });
    // Guards against an endpoint that is avoided for the fault of another one that was to read a part.
    it("counts a refusal against the endpoint that it names", async () => {
        const { host } = await startSystem("once", [
            (received, socket) => writeAnswer(socket, received, 503, "", "t-not-run: 1\r\nt-fault: 127.0.0.1:9\r\n"),
        ], 1);
        host.publish({ id: "other", address: "127.0.0.1:9" }, { service: "parts" as never });
        await expect.poll(() => host.host.context.directory.get("other")).toBeDefined();
        expect((await send(host)).status).toBe(503);
        expect(host.host.context.directory.get("other")?.health.failures).toBe(1);
        expect(host.host.context.directory.get("e0")?.health.failures).toBe(0);
    });
    it("tries another endpoint while none has accepted a connection", async () => {
        const { host, endpoints } = await startSystem("once", [answer], 1);
        for (const id of ["d1", "d2"]) {
            host.publish({ id, address: "127.0.0.1:1" });
        }
        for (let count = 0; count < 4; count += 1) {
            expect((await send(host)).status).toBe(200);
        }
        expect(endpoints[0]?.received).toHaveLength(4);
    });
    it("answers 504 when the time is over, and hands on no more time than is left", async () => {
        const { host, endpoints } = await startSystem("once", [staySilent], 1);
        const reply = await send(host, { "t-deadline": "300" });
        expect(reply.status).toBe(504);
        expect(Number(endpoints[0]?.received[0]?.headers["t-deadline"])).toBeLessThanOrEqual(300);
    });
    it("does not take a late second answer for the next request's", async () => {
        // The second answer arrives where the next one is due, on the kept connection.
        const { host } = await startSystem("repeatable", [(received, socket, count) => {
            writeAnswer(socket, received, 200, `body of ${received.headers["t-id"] ?? ""}`);
            if (count === 1) {
                setTimeout(() => writeAnswer(socket, received, 200, "late"), 30);
            }
        }], 2);
        expect((await send(host, { "t-id": "q1" })).body).toBe("body of q1");
        await new Promise(resolve => setTimeout(resolve, 25));
        const replies = await Promise.all(["q2", "q3", "q4"].map(id => send(host, { "t-id": id })));
        for (const [index, reply] of replies.entries()) {
            if (reply.status === 200) {
                expect(reply.body).toBe(`body of q${index + 2}`);
            }
        }
    });
    it("refuses unknown keys, routes and large bodies without a send", async () => {
        const { host, endpoints } = await startSystem("once", [answer], 1);
        host.configure({
            routes: [createRoute({ kind: "once", allowsAnonymous: false })],
            workspaces: [{ name: "w" as never, keys: ["k"] }],
        });
        await expect.poll(() => host.host.context.getConfiguration()?.configuration.version).toBe(2);
        expect((await send(host)).status).toBe(401);
        expect((await send(host, { authorization: "Bearer k" })).status).toBe(200);
        expect(endpoints[0]?.received[0]?.headers).toMatchObject({ "t-workspace": "w" });
        expect(endpoints[0]?.received[0]?.headers["authorization"]).toBeUndefined();
        const other = await request(`${host.url}/none/`, { headers: { host: "desk.example" } });
        expect(other.statusCode).toBe(404);
        await other.body.dump();
        const large = await request(`${host.url}/r/`, {
            method: "POST",
            headers: { host: "desk.example", authorization: "Bearer k" },
            body: "x".repeat(200_000),
        });
        expect(large.statusCode).toBe(413);
        await large.body.dump();
    });
});
