import { describe, expect, it } from "vitest";
import { selectRequestHeaders, selectResponseHeaders } from "../../../src/requests/queries/selectHeaders.js";

describe("selectRequestHeaders", () => {
    const hostHeaders = new Set(["authorization", "tenant"]);
    // Guards against request smuggling, and against callers that set the workspace themselves.
    it.each([
        {
            name: "connection-level headers",
            raw: ["Connection", "close", "Transfer-Encoding", "chunked", "A", "1"],
            kept: ["A", "1"],
        },
        {
            name: "headers that Connection names",
            raw: ["Connection", "X-Hop, keep-alive", "X-Hop", "1", "B", "2"],
            kept: ["B", "2"],
        },
        {
            name: "headers that only the host sets",
            raw: ["TENANT", "other", "Authorization", "Bearer k", "C", "3"],
            kept: ["C", "3"],
        },
        {
            name: "length and expectation",
            raw: ["Content-Length", "3", "Expect", "100-continue", "D", "4"],
            kept: ["D", "4"],
        },
    ])("drops $name", ({ raw, kept }) => {
        expect(selectRequestHeaders(raw, hostHeaders)).toEqual(kept);
    });
    it("keeps repeated headers and their case", () => {
        expect(selectRequestHeaders(["Set-A", "1", "Set-A", "2"], hostHeaders)).toEqual(["Set-A", "1", "Set-A", "2"]);
    });
});

describe("selectResponseHeaders", () => {
    it("drops connection-level headers and those that Connection names", () => {
        expect(
            selectResponseHeaders({
                "connection": "close, x-hop",
                "x-hop": "1",
                "content-length": "2",
                "a": ["1", "2"],
            }),
        )
            .toEqual({ a: ["1", "2"] });
    });
});
