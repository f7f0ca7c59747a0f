/** Response to the caller, and number of attempts, for each way in which an attempt can fail. */
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
const truncate: EndpointScript = (received, socket) => {
    socket.write(
        `HTTP/1.1 200 OK\r\nt-id: ${received.headers["t-id"] ?? ""}\r\nt-signature: s\r\ncontent-length: 9\r\n\r\nhal`,
    );
    socket.end();
};
const resetWithoutLength: EndpointScript = (received, socket) => {
    socket.write(
        `HTTP/1.1 200 OK\r\nt-id: ${received.headers["t-id"] ?? ""}\r\nt-signature: s\r\nconnection: close\r\n\r\nhal`,
    );
    setTimeout(() => socket.resetAndDestroy(), 20);
};
const endWithoutLength: EndpointScript = (received, socket) => {
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
const ignore: EndpointScript = () => undefined;

interface Case {
    readonly name: string;
    readonly kind: RequestKind;
    readonly attempts?: number;
    readonly scripts: readonly EndpointScript[];
    readonly status: number;
    readonly body?: string;
    /** Number of requests that endpoints received. */
    readonly attemptsReceived: number;
}

// Each row guards against a false guarantee to the caller, a lost response, or a second run of an unrepeatable request.
const cases: readonly Case[] = [
    {
        name: "a response is forwarded",
        kind: "once",
        scripts: [answer],
        status: 200,
        body: "whole",
        attemptsReceived: 1,
    },
    {
        name: "an error response of the endpoint is forwarded",
        kind: "once",
        scripts: [fail, fail],
        status: 500,
        body: "failed",
        attemptsReceived: 1,
    },
    {
        name: "a reset after sending leaves the outcome unknown",
        kind: "once",
        attempts: 1,
        scripts: [reset, answer],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "a reset after sending leaves the outcome unknown, even with attempts left",
        kind: "once",
        scripts: [reset, reset],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "a stated refusal guarantees that the request has not run",
        kind: "once",
        attempts: 1,
        scripts: [refuse, refuse],
        status: 503,
        attemptsReceived: 1,
    },
    {
        name: "after a stated refusal another endpoint may be tried",
        kind: "once",
        scripts: [refuse, refuse],
        status: 503,
        attemptsReceived: 2,
    },
    {
        name: "a misdirected request is guaranteed not to have run",
        kind: "once",
        attempts: 1,
        scripts: [misdirect],
        status: 503,
        attemptsReceived: 1,
    },
    {
        name: "a truncated response leaves the outcome unknown",
        kind: "once",
        scripts: [truncate],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "a reset body without length leaves the outcome unknown",
        kind: "once",
        scripts: [resetWithoutLength],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "a body without length that ends is complete",
        kind: "once",
        scripts: [endWithoutLength],
        status: 200,
        body: "whole",
        attemptsReceived: 1,
    },
    {
        name: "a response to another request leaves the outcome unknown",
        kind: "once",
        scripts: [answerOther],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "a success without signature leaves the outcome unknown",
        kind: "once",
        scripts: [answerUnsigned],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "an encoded body leaves the outcome unknown",
        kind: "once",
        scripts: [answerEncoded],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "bytes that are not HTTP leave the outcome unknown",
        kind: "once",
        scripts: [writeGarbage],
        status: 502,
        attemptsReceived: 1,
    },
    {
        name: "without an endpoint the request is guaranteed not to have run",
        kind: "once",
        scripts: [],
        status: 503,
        attemptsReceived: 0,
    },
    {
        name: "a repeatable request is retried after a reset",
        kind: "repeatable",
        scripts: [reset, reset],
        status: 502,
        attemptsReceived: 2,
    },
    {
        name: "a repeatable request returns the last error response",
        kind: "repeatable",
        scripts: [fail, fail],
        status: 500,
        body: "failed",
        attemptsReceived: 2,
    },
    {
        name: "a repeatable request does not exceed its attempts",
        kind: "repeatable",
        attempts: 1,
        scripts: [fail, answer, answer],
        status: 500,
        attemptsReceived: 1,
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

describe("failure points of an attempt", () => {
    it.each(cases)("$kind: $name", async ({ kind, attempts = 2, scripts, status, body, attemptsReceived }) => {
        // With one script for all endpoints, the choice of the endpoint does not matter. Other rows start one.
        const isUniform = scripts.every(script => script === scripts[0]);
        const { host, endpoints } = await startSystem(kind, isUniform ? scripts : scripts.slice(0, 1), attempts);
        const reply = await send(host);
        expect(reply.status).toBe(status);
        if (body !== undefined) {
            expect(reply.body).toBe(body);
        }
        expect(endpoints.reduce((sum, endpoint) => sum + endpoint.received.length, 0)).toBe(attemptsReceived);
        expect(reply.headers["retry-after"] !== undefined).toBe(status === 503);
        expect(reply.headers["t-id"]).toBe("q1");
    });
    it("forwards method, path, query and body unchanged, and names the expected endpoint", async () => {
        const { host, endpoints } = await startSystem("once", [answer], 1);
        await send(host, { "t-workspace": "forged", "x-own": "kept" });
        const [received] = endpoints[0]?.received ?? [];
        expect(received).toMatchObject({ method: "POST", target: "/r/x?y=1", body: "the body" });
        expect(received?.headers).toMatchObject({ "t-endpoint": "e0", "t-id": "q1", "x-own": "kept" });
        expect(received?.headers["t-workspace"]).toBeUndefined();
    });
    // Guards against avoiding an endpoint because of a fault of another one that was to prefill a shard.
    it("attributes a refusal to the endpoint that it names", async () => {
        const { host } = await startSystem("once", [
            (received, socket) => writeAnswer(socket, received, 503, "", "t-not-run: 1\r\nt-fault: 127.0.0.1:9\r\n"),
        ], 1);
        host.publish({ id: "other", address: "127.0.0.1:9" }, { service: "parts" as never });
        await expect.poll(() => host.host.context.directory.get("other")).toBeDefined();
        expect((await send(host)).status).toBe(503);
        expect(host.host.context.directory.get("other")?.health.failures).toBe(1);
        expect(host.host.context.directory.get("e0")?.health.failures).toBe(0);
    });
    it("tries another endpoint after a failed connection", async () => {
        const { host, endpoints } = await startSystem("once", [answer], 1);
        for (const id of ["d1", "d2"]) {
            host.publish({ id, address: "127.0.0.1:1" });
        }
        for (let count = 0; count < 4; count += 1) {
            expect((await send(host)).status).toBe(200);
        }
        expect(endpoints[0]?.received).toHaveLength(4);
    });
    it("responds with 504 at the deadline, and forwards no more than the remaining time", async () => {
        const { host, endpoints } = await startSystem("once", [ignore], 1);
        const reply = await send(host, { "t-deadline": "300" });
        expect(reply.status).toBe(504);
        expect(Number(endpoints[0]?.received[0]?.headers["t-deadline"])).toBeLessThanOrEqual(300);
    });
    it("does not mistake a late second response for the response to the next request", async () => {
        // The second response arrives on the pooled connection while the next request is in progress.
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
    it("refuses unknown keys, routes and large bodies without an attempt", async () => {
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

// Guards against a host that was paused between its decision and the first byte, and acts on outdated knowledge.
it("decides again if the process was paused before it could send", async () => {
    const { host, endpoints } = await startSystem("once", [answer, answer], 1);
    const { assignmentRegistry } = host.host.context;
    const { add } = assignmentRegistry;
    const pauseOnce: typeof add = (...work) => {
        Object.assign(assignmentRegistry, { add });
        // Runs once the attempt has started, before its connection is ready.
        queueMicrotask(() => {
            const resumeAtMs = performance.now() + 900;
            while (performance.now() < resumeAtMs) {
                // Blocks the event loop.
            }
        });
        return add(...work);
    };
    Object.assign(assignmentRegistry, { add: pauseOnce });
    const reply = request(`${host.url}/r/x`, { headers: { "host": "desk.example", "t-id": "q1" } });
    expect((await reply).statusCode).toBe(200);
    expect(endpoints.reduce((sum, endpoint) => sum + endpoint.received.length, 0)).toBe(1);
    const ended = host.logged.find(line => line["msg"] === "requests: ended");
    expect((ended?.["attempts"] as { outcome: string; }[]).map(attempt => attempt.outcome)).toEqual([
        "not_run",
        "answered",
    ]);
});
