import { describe, expect, it } from "vitest";
import { selectAnswerHeaders, selectRequestHeaders } from "../../../src/requests/queries/selectHeaders.js";

describe("selectRequestHeaders", () => {
    const own = new Set(["authorization", "tenant"]);
    // Guards against smuggled framing, and against a caller who names its own workspace.
    it.each([
        {
            name: "headers of the connection",
            raw: ["Connection", "close", "Transfer-Encoding", "chunked", "A", "1"],
            kept: ["A", "1"],
        },
        {
            name: "headers that Connection names",
            raw: ["Connection", "X-Hop, keep-alive", "X-Hop", "1", "B", "2"],
            kept: ["B", "2"],
        },
        {
            name: "headers that the host sets",
            raw: ["TENANT", "other", "Authorization", "Bearer k", "C", "3"],
            kept: ["C", "3"],
        },
        {
            name: "length and expectation",
            raw: ["Content-Length", "3", "Expect", "100-continue", "D", "4"],
            kept: ["D", "4"],
        },
    ])("drops $name", ({ raw, kept }) => {
        expect(selectRequestHeaders(raw, own)).toEqual(kept);
    });
    it("keeps repeated headers and their case", () => {
        expect(selectRequestHeaders(["Set-A", "1", "Set-A", "2"], own)).toEqual(["Set-A", "1", "Set-A", "2"]);
    });
});

describe("selectAnswerHeaders", () => {
    it("drops headers of the connection and those it names", () => {
        expect(
            selectAnswerHeaders({ "connection": "close, x-hop", "x-hop": "1", "content-length": "2", "a": ["1", "2"] }),
        )
            .toEqual({ a: ["1", "2"] });
    });
});
