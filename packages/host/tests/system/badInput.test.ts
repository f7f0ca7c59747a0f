import { requestJson } from "@currantrill/http";
import { connect } from "node:net";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callerHeaders, startTestSystem, type TestSystem } from "./startTestSystem.js";

interface BadRequest {
    readonly name: string;
    readonly method?: "GET" | "POST" | "DELETE";
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly status: number;
    readonly field: string;
}

const validBody = JSON.stringify({ model: "model", prompt: "x", max_tokens: 1 });
const buildBody = (fields: Readonly<Record<string, unknown>>): string =>
    JSON.stringify({ model: "model", prompt: "x", max_tokens: 1, ...fields });

const cases: readonly BadRequest[] = [
    { name: "no key", headers: { authorization: "" }, status: 401, field: "Authorization" },
    { name: "unknown key", headers: { authorization: "Bearer other" }, status: 401, field: "Authorization" },
    { name: "invalid JSON", body: "{", status: 400, field: "body" },
    { name: "no body", body: "", status: 400, field: "body" },
    { name: "an array", body: "[]", status: 400, field: "body" },
    { name: "null", body: "null", status: 400, field: "body" },
    { name: "no prompt", body: buildBody({ prompt: undefined }), status: 400, field: "prompt" },
    { name: "a number as prompt", body: buildBody({ prompt: 1 }), status: 400, field: "prompt" },
    { name: "max_tokens out of range", body: buildBody({ max_tokens: 0 }), status: 400, field: "max_tokens" },
    { name: "a text as stream", body: buildBody({ stream: "yes" }), status: 400, field: "stream" },
    { name: "unknown model", body: buildBody({ model: "other" }), status: 404, field: "model" },
    { name: "model named like a prototype", body: buildBody({ model: "__proto__" }), status: 404, field: "model" },
    {
        name: "synthetic prompt out of range",
        body: buildBody({ prompt_tokens: 2e9 }),
        status: 400,
        field: "prompt_tokens",
    },
    { name: "timeout 0", headers: { "x-request-timeout-ms": "0" }, status: 400, field: "X-Request-Timeout-Ms" },
    { name: "timeout as text", headers: { "x-request-timeout-ms": "1s" }, status: 400, field: "X-Request-Timeout-Ms" },
    {
        name: "timeout too long",
        headers: { "x-request-timeout-ms": "99999999" },
        status: 400,
        field: "X-Request-Timeout-Ms",
    },
    { name: "unknown priority", headers: { "x-priority": "urgent" }, status: 400, field: "X-Priority" },
    { name: "header too large", headers: { "x-large": "x".repeat(20_000) }, status: 431, field: "headers" },
    { name: "body too large", body: buildBody({ prompt: "x".repeat(200_000) }), status: 413, field: "body" },
    { name: "wrong method", method: "DELETE", status: 405, field: "method" },
    { name: "unknown path", path: "/v2/completions", status: 404, field: "path" },
    { name: "chat without messages", path: "/v1/chat/completions", status: 400, field: "messages" },
    {
        name: "a message without content",
        path: "/v1/chat/completions",
        body: buildBody({ messages: [{ role: "user" }] }),
        status: 400,
        field: "messages.0.content",
    },
    { name: "unknown service", path: "/services/other/x", status: 404, field: "service" },
    { name: "bad percent-encoding", path: "/services/orders/%zz", status: 400, field: "path" },
    {
        name: "malformed idempotency key",
        path: "/services/orders/dispatch",
        headers: { "idempotency-key": "a b" },
        status: 400,
        field: "Idempotency-Key",
    },
    { name: "no idempotency key", path: "/services/orders/dispatch", status: 400, field: "Idempotency-Key" },
];

const buildDispatch = (path: string): string =>
    `POST ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: ${callerHeaders.authorization}\r\n`
    + "idempotency-key: k\r\ncontent-length: 0\r\n\r\n";

describe("the caller API guards against invalid input", () => {
    let system: TestSystem;
    beforeAll(async () => {
        system = await startTestSystem({ settings: { limits: { max_body_bytes: 100_000 } } });
    });
    afterAll(() => system.stop());

    it.each(cases)("answers $name with $status and names $field", async badRequest => {
        const url = new URL(system.hosts[0]!.url);
        const response = await request({
            origin: url.origin,
            path: badRequest.path ?? "/v1/completions",
            method: badRequest.method ?? "POST",
            headers: { ...callerHeaders, ...badRequest.headers },
            body: badRequest.method === "DELETE" ? null : badRequest.body ?? validBody,
        } as never);
        const body = await response.body.json();
        expect(response.statusCode).toBe(badRequest.status);
        expect(body).toMatchObject({ error: { field: badRequest.field, outcome: "not_run" } });
        expect(response.headers["x-outcome"]).toBe("not_run");
        expect(response.headers["x-request-id"]).toBeDefined();
    });

    // HTTP clients normalize such requests, so the test writes them to a socket.
    it.each([
        { name: "bytes that are not HTTP", bytes: "hello\r\n\r\n", field: "request" },
        {
            name: "two different lengths",
            bytes: "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            field: "request",
        },
        { name: "dot segments", bytes: buildDispatch("/services/orders/stock/../dispatch"), field: "path" },
        { name: "encoded dot segments", bytes: buildDispatch("/services/orders/stock/%2e%2E/dispatch"), field: "path" },
    ])("answers $name with 400", async ({ bytes, field }) => {
        const { hostname, port } = new URL(system.hosts[0]!.url);
        const socket = connect(Number(port), hostname);
        socket.write(bytes);
        const chunks: Buffer[] = [];
        for await (const chunk of socket) {
            chunks.push(chunk as Buffer);
        }
        const text = Buffer.concat(chunks).toString();
        expect(text).toMatch(/^HTTP\/1\.1 400 /);
        expect(text).toContain(`"field":"${field}"`);
    });

    it("continues to serve after a caller disconnects in the middle of a request body", async () => {
        const { hostname, port } = new URL(system.hosts[0]!.url);
        const socket = connect(Number(port), hostname);
        socket.write("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{");
        await new Promise(resolve => socket.once("connect", resolve));
        socket.destroy();
        const response = await requestJson(`${system.hosts[0]!.url}/v1/models`, { headers: callerHeaders });
        expect(response.status).toBe(200);
    });
});
