import { toWorkspaceId } from "@currantrill/protocol";
import { describe, expect, it } from "vitest";
import { createRequestIdentity, type IdentifiedRequest } from "../../../src/quarantine/model/requestIdentity.js";

const anonymous: IdentifiedRequest = {
    method: "POST",
    host: "desk.example",
    target: "/r/x?a=1",
    body: Buffer.from("{\"a\":1}"),
};
const request: IdentifiedRequest = { ...anonymous, workspace: toWorkspaceId("w1") };

/** Requests that are not the same, and whether their heads are. */
const others: readonly (readonly [string, IdentifiedRequest, boolean])[] = [
    ["another method", { ...request, method: "PUT" }, false],
    ["another host", { ...request, host: "other.example" }, false],
    ["another query", { ...request, target: "/r/x?a=2" }, false],
    ["another workspace", { ...request, workspace: toWorkspaceId("w2") }, false],
    ["no workspace", anonymous, false],
    ["a longer body", { ...request, body: Buffer.from("{\"a\":10}") }, false],
    ["another body of the same length", { ...request, body: Buffer.from("{\"a\":2}") }, true],
    // Guards against fields that are only joined, so that a caller can shift text from one into the next.
    [
        "text shifted from the target into the body",
        { ...request, target: "/r/x?a=", body: Buffer.from("1{\"a\":1}") },
        false,
    ],
];

describe("createRequestIdentity", () => {
    // Guards against evidence on one request that different hosts keep under different names.
    it("is the same for a copy of the request", () => {
        const [first, second] = [request, { ...request, body: Buffer.from(request.body) }]
            .map(createRequestIdentity);
        expect(second?.getDigest()).toBe(first?.getDigest());
        expect(first?.getDigest()).toMatch(/^[\w-]{8}\.[\w-]{22}$/);
    });
    // Guards against the blame of a request for what another one does.
    it.each(others)("differs for %s", (_name, other, hasSameHead) => {
        const [first, second] = [request, other].map(createRequestIdentity);
        expect(second?.getDigest()).not.toBe(first?.getDigest());
        expect(second?.getHeadDigest() === first?.getHeadDigest()).toBe(hasSameHead);
    });
});
