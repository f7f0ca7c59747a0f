import type { ServiceObject } from "@currantrill/core";
import { toPoolId, toServiceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { findOperation } from "../../src/calls/queries/findOperation.js";
import { parseServiceTarget } from "../../src/calls/queries/parseServiceTarget.js";
import { selectRequestHeaders, selectResponseHeaders } from "../../src/calls/queries/selectHeaders.js";

const service: ServiceObject = {
    kind: "service",
    name: toServiceId("orders"),
    pool: toPoolId("servers"),
    operations: [
        { method: "POST", path: "/stock/count", idempotent: true },
        { method: "*", path: "/stock", idempotent: false },
        { method: "GET", path: "/", idempotent: true },
    ],
};

describe("findOperation guards against retrying a call to an operation that is not declared idempotent", () => {
    it.each([
        { method: "POST", path: "/stock/count", idempotent: true },
        { method: "POST", path: "/stock/count/1", idempotent: true },
        { method: "POST", path: "/stock/counter", idempotent: false },
        { method: "GET", path: "/stock/count", idempotent: false },
        { method: "GET", path: "/stocks", idempotent: true },
        { method: "POST", path: "/stocks", idempotent: undefined },
    ])("$method $path", ({ method, path, idempotent }) => {
        expect(findOperation(service, method, path)?.idempotent).toBe(idempotent);
    });
});

describe("parseServiceTarget guards against changes to the path or query that a service receives", () => {
    it.each([
        { url: "/services/orders", service: "orders", target: "/" },
        { url: "/services/orders?a=1", service: "orders", target: "/?a=1" },
        { url: "/services/orders/a%2Fb//c?x=%20&x=", service: "orders", target: "/a%2Fb//c?x=%20&x=" },
        { url: "/services/orders/a...b/.c", service: "orders", target: "/a...b/.c" },
    ])("$url", ({ url, service: name, target }) => {
        expect(parseServiceTarget(url)).toMatchObject({ service: name, target });
    });

    it.each(["/services/o/..", "/services/o/a/%2e%2e/b", "/services/o/a%2f..%2fb", "/services/o/./a", "/services/o/%"])(
        "refuses %s",
        url => expect(() => parseServiceTarget(url)).toThrow(),
    );
});

describe("selectHeaders guards against forwarding the workspace key and hop-by-hop headers", () => {
    it("forwards only end-to-end headers", () => {
        const headers = {
            "authorization": "Bearer key",
            "connection": "close, X-Hop",
            "x-hop": "1",
            "x-own": "2",
            "content-type": "text/plain",
            "transfer-encoding": "chunked",
            "set-cookie": ["a", "b"],
        };
        expect(selectRequestHeaders(headers)).toEqual({
            "x-own": "2",
            "content-type": "text/plain",
            "set-cookie": ["a", "b"],
        });
        expect(selectResponseHeaders({ "x-outcome": "not_run", "etag": "1" })).toEqual({ etag: "1" });
    });
});
