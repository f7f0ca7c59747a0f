import { describe, expect, it } from "vitest";
import {
    createEndpointObservationTable,
    type EndpointObservation,
} from "../../../src/endpoints/model/endpointObservation.js";

const unresponsiveObservation: EndpointObservation = { endpointId: "e1", unresponsiveReports: 1, failures: 1 };

describe("createEndpointObservationTable", () => {
    // Guards against every host of a large fleet having to lose a request before it detects that an endpoint fails.
    it("combines the observations of all peers", () => {
        const table = createEndpointObservationTable();
        table.setSource("a:1", [unresponsiveObservation], 0);
        table.setSource(
            "b:1",
            [unresponsiveObservation, { endpointId: "e2", unresponsiveReports: 0, failures: 0.5, slowdown: 4 }],
            0,
        );
        expect(table.summarize(100).get("e1")).toEqual({ unresponsiveReports: 2, failures: 2, maxSlowdown: 1 });
        expect(table.summarize(100).get("e2")).toEqual({ unresponsiveReports: 0, failures: 0.5, maxSlowdown: 4 });
    });
    // Guards against observations that a coordinator counts again when another domain returns them.
    it("combines only the accepted sources", () => {
        const table = createEndpointObservationTable();
        table.setSource("a:1", [unresponsiveObservation], 0);
        table.setSource("domain:south", [{ ...unresponsiveObservation, unresponsiveReports: 3 }], 0);
        expect(table.summarize(100).get("e1")?.unresponsiveReports).toBe(4);
        expect(table.summarize(100, source => source === "a:1").get("e1")?.unresponsiveReports).toBe(1);
    });
    // Guards against avoiding an endpoint after peers have reached it again or have left.
    it.each([
        { name: "the peer no longer reports it", update: true, nowMs: 100 },
        { name: "no messages arrive from the peer", update: false, nowMs: 2_000 },
    ])("drops an observation once $name", ({ update, nowMs }) => {
        const table = createEndpointObservationTable();
        table.setSource("a:1", [unresponsiveObservation], 0);
        if (update) {
            table.setSource("a:1", [], 50);
        }
        expect(table.summarize(nowMs).has("e1")).toBe(false);
    });
});
